//! HTTP/1.1 over plain sockets: what the stand-ins and the clients need.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

pub struct Message {
    /// The request line or the status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    /// Path and query.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(n, _)| *n == name)
            .map(|(_, value)| percent_decoded(value))
    }

    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|h| std::str::from_utf8(h).ok());
        match (bytes[at], hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                at += 1;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a whole message; `None` if the connection ends, fails or times out before its end.
pub fn read_message(stream: &mut TcpStream, is_answer: bool) -> Option<Message> {
    let mut head = Vec::new();
    let mut byte = [0u8; 1];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.split("\r\n");
    let line = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = Message {
        line,
        headers,
        body: Vec::new(),
    };
    let length: Option<usize> = message.header("content-length").and_then(|l| l.parse().ok());
    match length {
        Some(length) => {
            let mut body = vec![0; length];
            stream.read_exact(&mut body).ok()?;
            message.body = body;
        }
        None if is_answer => {
            stream.read_to_end(&mut message.body).ok()?;
        }
        None => {}
    }
    Some(message)
}

/// What a client has seen of one request.
#[derive(Debug, Clone, PartialEq)]
pub enum Seen {
    /// Status and whether the answer bears a target's signature.
    Answer(u16, bool),
    /// The connection ended without a whole answer.
    Closed,
    /// No answer within the client's time.
    TimedOut,
    /// No connection could be made.
    NoConnection,
}

/// Sends one request on a new connection, and reads its answer until `wait` has passed.
pub fn ask(address: SocketAddr, head: &str, body: &[u8], wait: Duration) -> Seen {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Seen::NoConnection;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(wait));
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    if stream.write_all(&bytes).is_err() {
        return Seen::Closed;
    }
    let sent = Instant::now();
    match read_message(&mut stream, true) {
        Some(answer) => Seen::Answer(answer.status(), answer.header("server-stamp").is_some()),
        None if sent.elapsed() >= wait => Seen::TimedOut,
        None => Seen::Closed,
    }
}

pub fn answer(status: u16, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// Whether the other side has closed the connection.
pub fn has_closed(stream: &TcpStream) -> bool {
    let Ok(()) = stream.set_nonblocking(true) else {
        return true;
    };
    let mut byte = [0u8; 1];
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

