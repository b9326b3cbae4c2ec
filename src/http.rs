//! A small HTTP client for the command line, stand-ins and the load generator.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Default of the maximum size of a response's body, in bytes.
const DEFAULT_ANSWER_BYTES_MAX: usize = 64 << 20;
/// Maximum size of a response's head, in bytes.
const HEAD_BYTES_MAX: usize = 64 << 10;

/// Why a request got no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// The connection can't be opened; nothing was sent.
    Connect,
    /// The connection was lost before the end of the response.
    ConnectionLost,
    /// No complete response arrived in time.
    Timeout,
    /// The response is larger than the client accepts.
    TooLarge,
    /// The request can't be built.
    InvalidRequest,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HttpError::Connect => "can't connect",
            HttpError::ConnectionLost => "the connection broke before the end of the answer",
            HttpError::Timeout => "no whole answer in time",
            HttpError::TooLarge => "the answer is too large",
            HttpError::InvalidRequest => "the request can't be formed",
        })
    }
}

impl std::error::Error for HttpError {}

/// An HTTP request.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Time limit for the complete response.
    pub timeout: Duration,
}

impl HttpRequest {
    /// Returns a `GET` request with a timeout of five seconds.
    pub fn get(path: &str) -> HttpRequest {
        HttpRequest {
            method: Method::GET,
            path: path.to_string(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            timeout: Duration::from_secs(5),
        }
    }

    /// Returns a `POST` request with a JSON body.
    pub fn post(path: &str, body: impl Into<Bytes>) -> HttpRequest {
        let mut request = HttpRequest::get(path);
        request.method = Method::POST;
        request.body = body.into();
        let json = HeaderValue::from_static("application/json");
        request.headers.insert(CONTENT_TYPE, json);
        request
    }

    /// Adds a header; invalid names and values are ignored.
    pub fn header(mut self, name: &str, value: &str) -> HttpRequest {
        let name = name.parse::<HeaderName>();
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            self.headers.insert(name, value);
        }
        self
    }

    /// Sets the time limit for the complete response.
    pub fn timeout(mut self, timeout: Duration) -> HttpRequest {
        self.timeout = timeout;
        self
    }
}

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Returns the value of a header, or an empty string if it is missing or isn't text.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or("")
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A client that keeps one connection and sends one request at a time.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
    reset_on_close: bool,
    answer_bytes_max: usize,
}

impl HttpClient {
    /// Returns a client that connects on first use.
    pub fn new(address: SocketAddr) -> HttpClient {
        HttpClient {
            address,
            sender: None,
            reset_on_close: false,
            answer_bytes_max: DEFAULT_ANSWER_BYTES_MAX,
        }
    }

    /// Returns a client that resets a connection when it gives it up, so that none of its data in
    /// transit arrives later.
    pub fn with_reset_on_close(address: SocketAddr) -> HttpClient {
        HttpClient {
            reset_on_close: true,
            ..HttpClient::new(address)
        }
    }

    /// Returns the client with another maximum size of a response's body, in bytes.
    pub fn with_answer_bytes_max(self, answer_bytes_max: usize) -> HttpClient {
        HttpClient {
            answer_bytes_max,
            ..self
        }
    }

    /// Reports whether a connection is open and ready.
    pub fn is_open(&self) -> bool {
        self.sender.as_ref().is_some_and(SendRequest::is_ready)
    }

    /// Opens a connection unless one is open.
    pub async fn open(&mut self) -> Result<(), Report<HttpError>> {
        if self.is_open() {
            return Ok(());
        }
        self.sender = Some(connect(self.address, self.reset_on_close).await?);
        Ok(())
    }

    /// Sends a request and reads the whole response; a failure closes the connection.
    pub async fn send(&mut self, request: HttpRequest) -> Result<HttpResponse, Report<HttpError>> {
        let timeout = request.timeout;
        let answered = tokio::time::timeout(timeout, self.exchange(request)).await;
        let result = match answered {
            Ok(result) => result,
            Err(_) => Err(Report::new(HttpError::Timeout)),
        };
        if result.is_err() {
            self.sender = None;
        }
        result
    }

    async fn exchange(&mut self, request: HttpRequest) -> Result<HttpResponse, Report<HttpError>> {
        self.open().await?;
        let Some(mut sender) = self.sender.take() else {
            return Err(Report::new(HttpError::Connect));
        };
        let mut hyper_request = Request::builder()
            .method(request.method)
            .uri(request.path)
            .header(HOST, self.address.to_string())
            .body(Full::new(request.body))
            .change_context(HttpError::InvalidRequest)?;
        hyper_request.headers_mut().extend(request.headers);
        let response = sender
            .send_request(hyper_request)
            .await
            .change_context(HttpError::ConnectionLost)?;
        let (head, body) = response.into_parts();
        if !is_final_status(head.status) {
            return Err(Report::new(HttpError::ConnectionLost));
        }
        let body = match Limited::new(body, self.answer_bytes_max).collect().await {
            Ok(body) => body,
            Err(e) if e.is::<LengthLimitError>() => return Err(Report::new(HttpError::TooLarge)),
            Err(_) => return Err(Report::new(HttpError::ConnectionLost)),
        };
        self.sender = Some(sender);
        Ok(HttpResponse {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}

/// Reports whether a status can belong to a final response. The HTTP library accepts all numbers from 100 to 999,
/// skips interim responses and returns 101, which no request asks for.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

async fn connect(
    address: SocketAddr,
    reset_on_close: bool,
) -> Result<SendRequest<Full<Bytes>>, Report<HttpError>> {
    let stream = TcpStream::connect(address)
        .await
        .change_context(HttpError::Connect)?;
    if reset_on_close {
        stream
            .set_zero_linger()
            .change_context(HttpError::Connect)?;
    }
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(HEAD_BYTES_MAX)
        .handshake(TokioIo::new(stream))
        .await
        .change_context(HttpError::Connect)?;
    tokio::spawn(connection);
    Ok(sender)
}

/// Sends one request on a connection of its own.
pub async fn send(
    address: SocketAddr,
    request: HttpRequest,
) -> Result<HttpResponse, Report<HttpError>> {
    HttpClient::new(address).send(request).await
}
