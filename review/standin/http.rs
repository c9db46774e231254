//! HTTP/1.1 over plain sockets, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a message: its first line and its headers, with names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }
}

/// Reads a head. Returns `None` at the end of the connection.
pub fn read_head(stream: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    head.line = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a request, which has a length or none.
pub fn read_request_body(stream: &mut impl Read, head: &Head) -> io::Result<Vec<u8>> {
    let length = head.number("content-length").unwrap_or(0);
    let mut body = vec![0; usize::try_from(length).unwrap_or(0)];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// An answer as its client sees it.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the answer ended as its head announces: with its length, its last chunk or the proper
    /// end of its connection.
    pub is_complete: bool,
    /// How the end of the answer is marked.
    pub ends_by: &'static str,
    /// Why it is not complete.
    pub problem: String,
}

/// Reads an answer. A pause that is longer than the read time-out of the connection ends it as not complete.
pub fn read_answer(stream: &mut impl BufRead) -> io::Result<Answer> {
    let head = loop {
        let head = read_head(stream)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if !head.line.contains(" 100 ") {
            break head;
        }
    };
    let status = head.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let mut body = Vec::new();
    let is_chunked = head.get("transfer-encoding").is_some();
    let (ends_by, result) = if is_chunked {
        ("chunks", read_chunks(stream, &mut body))
    } else if let Some(length) = head.number("content-length") {
        let result = stream.take(length).read_to_end(&mut body).and_then(|read| {
            let is_short = (read as u64) < length;
            if is_short {
                Err(io::ErrorKind::UnexpectedEof.into())
            } else {
                Ok(())
            }
        });
        ("length", result)
    } else {
        ("connection", stream.read_to_end(&mut body).map(|_| ()))
    };
    let problem = result.as_ref().err().map(ToString::to_string).unwrap_or_default();
    Ok(Answer { status, body, is_complete: result.is_ok(), ends_by, problem })
}

fn read_chunks(stream: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        stream.read_line(&mut line)?;
        let size = line.trim().split(';').next().unwrap_or_default();
        let size = u64::from_str_radix(size, 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        if stream.take(size).read_to_end(body)? as u64 != size {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let mut end = [0; 2];
        stream.read_exact(&mut end)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Connects and sends a request.
pub fn send(
    to: SocketAddr,
    request: &[u8],
    connect: Duration,
    pause: Duration,
) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&to, connect)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(pause))?;
    stream.set_write_timeout(Some(pause))?;
    stream.write_all(request)?;
    Ok(stream)
}

/// Makes a call with a JSON body and returns the status and the body.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let began = Instant::now();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    let stream = send(to, request.as_bytes(), limit, limit).ok()?;
    let answer = read_answer(&mut BufReader::new(stream)).ok()?;
    let is_in_time = began.elapsed() <= limit && answer.is_complete;
    is_in_time.then(|| (answer.status, String::from_utf8_lossy(&answer.body).into_owned()))
}
