//! HTTP over raw sockets for fake upstreams.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub async fn close_gracefully(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.shutdown().await?;
    let mut rest = [0; 64];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}

pub fn format_response(status: u16, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_string())
    })
}

pub async fn read_head(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> std::io::Result<Option<String>> {
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            buf.drain(..end + 4);
            return Ok(Some(head));
        }
        if !read_more(stream, buf).await? {
            return Ok(None);
        }
    }
}

pub async fn read_body(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    head: &str,
) -> std::io::Result<Option<Vec<u8>>> {
    let len: usize = header(head, "content-length").map_or(0, |n| n.parse().unwrap());
    while buf.len() < len {
        if !read_more(stream, buf).await? {
            return Ok(None);
        }
    }
    Ok(Some(buf.drain(..len).collect()))
}

async fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> std::io::Result<bool> {
    let mut chunk = [0; 65_536];
    let read = stream.read(&mut chunk).await?;
    buf.extend_from_slice(&chunk[..read]);
    Ok(read > 0)
}
