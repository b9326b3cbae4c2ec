//! Certificates of a deployment: one authority, one certificate for each host, and the operators'
//! token.

use std::fmt;
use std::fs;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use rustls::server::WebPkiClientVerifier;
use rustls::{DigitallySignedStruct, RootCertStore, SignatureScheme};

/// The ALPN protocol that processes negotiate.
const ALPN_PROTOCOL: &[u8] = b"carobreel/1";
const AUTHORITY_FILE: &str = "authority.pem";
const TOKEN_FILE: &str = "operator.token";
const TOKEN_BYTES: usize = 24;

/// Why certificates or the token can't be created or used.
#[derive(Debug, PartialEq, Eq)]
pub enum CredentialsError {
    /// A file can't be read or written.
    File(PathBuf),
    /// A certificate can't be generated.
    Generate,
    /// A certificate or key is invalid.
    Invalid,
}

impl fmt::Display for CredentialsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CredentialsError::File(path) => write!(f, "can't read or write {}", path.display()),
            CredentialsError::Generate => f.write_str("can't generate a certificate"),
            CredentialsError::Invalid => f.write_str("invalid certificate or key"),
        }
    }
}

impl std::error::Error for CredentialsError {}

/// TLS configurations of one host for both directions.
#[derive(Clone, Debug)]
pub struct Tls {
    /// For incoming connections.
    pub server: Arc<rustls::ServerConfig>,
    /// For outgoing connections.
    pub client: Arc<rustls::ClientConfig>,
}

/// Writes an authority, a certificate for each host and an operators' token to `folder`.
///
/// The authority's key is discarded unless `keep_authority` is set; then it is written as well, so
/// that hosts can be added later.
pub fn generate(
    folder: &Path,
    hosts: &[String],
    keep_authority: bool,
) -> Result<(), Report<CredentialsError>> {
    let file_error = || CredentialsError::File(folder.to_path_buf());
    fs::create_dir_all(folder).change_context_lazy(file_error)?;
    let key = KeyPair::generate().change_context(CredentialsError::Generate)?;
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    params
        .distinguished_name
        .push(DnType::CommonName, "carobreel deployment");
    let authority = params
        .self_signed(&key)
        .change_context(CredentialsError::Generate)?;
    write_file(&folder.join(AUTHORITY_FILE), &authority.pem())?;
    if keep_authority {
        write_file(&folder.join("authority.key.pem"), &key.serialize_pem())?;
    }
    let issuer = Issuer::new(params, key);
    for host in hosts {
        generate_host_certificate(folder, host, &issuer)?;
    }
    write_file(&folder.join(TOKEN_FILE), &generate_token())
}

fn generate_host_certificate(
    folder: &Path,
    host: &str,
    issuer: &Issuer<'_, KeyPair>,
) -> Result<(), Report<CredentialsError>> {
    let key = KeyPair::generate().change_context(CredentialsError::Generate)?;
    let mut params = CertificateParams::new(vec![host.to_string()])
        .change_context(CredentialsError::Generate)?;
    params.distinguished_name.push(DnType::CommonName, host);
    let certificate = params
        .signed_by(&key, issuer)
        .change_context(CredentialsError::Generate)?;
    write_file(&folder.join(format!("{host}.pem")), &certificate.pem())?;
    write_file(
        &folder.join(format!("{host}.key.pem")),
        &key.serialize_pem(),
    )
}

fn generate_token() -> String {
    let secret: [u8; TOKEN_BYTES] = rand::random();
    secret.iter().map(|b| format!("{b:02x}")).collect()
}

fn write_file(path: &Path, text: &str) -> Result<(), Report<CredentialsError>> {
    let file_error = || CredentialsError::File(path.to_path_buf());
    let mut f = fs::OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(0o600)
        .open(path)
        .change_context_lazy(file_error)?;
    f.write_all(text.as_bytes()).change_context_lazy(file_error)
}

/// Reads the operators' token.
pub fn read_token(folder: &Path) -> Result<String, Report<CredentialsError>> {
    let path = folder.join(TOKEN_FILE);
    let text = fs::read_to_string(&path).change_context(CredentialsError::File(path))?;
    Ok(text.trim().to_string())
}

/// Reads a host's certificate and key and the authority's certificate.
pub fn read_tls(folder: &Path, host: &str) -> Result<Tls, Report<CredentialsError>> {
    let authority = read_certificates(&folder.join(AUTHORITY_FILE))?;
    let chain = read_certificates(&folder.join(format!("{host}.pem")))?;
    let path = folder.join(format!("{host}.key.pem"));
    let key = PrivateKeyDer::from_pem_file(&path).change_context(CredentialsError::File(path))?;
    let mut roots = RootCertStore::empty();
    for certificate in authority {
        roots
            .add(certificate)
            .change_context(CredentialsError::Invalid)?;
    }
    let roots = Arc::new(roots);
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .change_context(CredentialsError::Invalid)?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context(CredentialsError::Invalid)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())
        .change_context(CredentialsError::Invalid)?;
    server.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context(CredentialsError::Invalid)?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .change_context(CredentialsError::Invalid)?;
    client.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    Ok(Tls {
        server: Arc::new(server),
        client: Arc::new(client),
    })
}

/// Returns TLS configurations with a self-signed certificate and no verification of the peer, for
/// deployments that provide no key material. Connections are encrypted, but any process that
/// reaches the port can take part.
pub fn unverified_tls() -> Result<Tls, Report<CredentialsError>> {
    let key = KeyPair::generate().change_context(CredentialsError::Generate)?;
    let params = CertificateParams::new(Vec::new()).change_context(CredentialsError::Generate)?;
    let certificate = params
        .self_signed(&key)
        .change_context(CredentialsError::Generate)?;
    let chain = vec![certificate.der().clone()];
    let key = PrivateKeyDer::try_from(key.serialize_der())
        .map_err(|_| Report::new(CredentialsError::Generate))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context(CredentialsError::Invalid)?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .change_context(CredentialsError::Invalid)?;
    server.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let mut client = rustls::ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context(CredentialsError::Invalid)?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(AcceptAnyCertificate(provider)))
        .with_no_client_auth();
    client.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    Ok(Tls {
        server: Arc::new(server),
        client: Arc::new(client),
    })
}

/// Accepts every certificate; handshake signatures are still verified.
#[derive(Debug)]
struct AcceptAnyCertificate(Arc<rustls::crypto::CryptoProvider>);

impl ServerCertVerifier for AcceptAnyCertificate {
    fn verify_server_cert(
        &self,
        _end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls12_signature(message, cert, dss, algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.0.signature_verification_algorithms;
        rustls::crypto::verify_tls13_signature(message, cert, dss, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}

fn read_certificates(
    path: &Path,
) -> Result<Vec<CertificateDer<'static>>, Report<CredentialsError>> {
    let file_error = || CredentialsError::File(path.to_path_buf());
    let list = CertificateDer::pem_file_iter(path).change_context_lazy(file_error)?;
    list.collect::<Result<Vec<_>, _>>()
        .change_context_lazy(file_error)
}
