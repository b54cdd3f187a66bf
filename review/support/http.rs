//! A minimal blocking HTTP/1.1 client and server side.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// A received request or response. The status is 0 in a request, the method empty in a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub status: u16,
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header, whose name is compared without case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(held, _)| held.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Returns a request id that is unique in this process.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:08x}{:08x}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed))
}

/// A client connection.
pub struct Connection {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects within a second.
    pub fn open(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a request whose body has a length.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() || method == "POST" {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    /// Reads a complete response; fails if it ends early.
    pub fn read(&mut self, timeout: Duration) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(timeout))?;
        read_message(&mut self.reader, false)
    }
}

/// Sends one request on a new connection and returns the response.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut connection = Connection::open(to)?;
    let mut all = vec![("Host", "control"), ("Connection", "close")];
    if headers.iter().any(|(name, _)| *name == "Host") {
        all.remove(0);
    }
    all.extend_from_slice(headers);
    connection.send(method, path, &all, body)?;
    connection.read(timeout)
}

/// Reads a request or a response with a length or in chunks.
pub fn read_message(reader: &mut impl BufRead, is_request: bool) -> io::Result<Message> {
    let mut message = Message::default();
    let first = read_line(reader)?;
    let mut words = first.split(' ');
    if is_request {
        message.method = words.next().unwrap_or_default().to_owned();
        message.path = words.next().unwrap_or_default().to_owned();
    } else {
        let status = words.nth(1).and_then(|word| word.parse().ok());
        message.status = status.ok_or(io::ErrorKind::InvalidData)?;
    }
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        loop {
            let line = read_line(reader)?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or_default(), 16)
                .map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk);
            read_line(reader)?;
            if size == 0 {
                return Ok(message);
            }
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    message.body = body;
    Ok(message)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}
