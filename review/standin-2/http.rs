//! A small part of HTTP/1.1, enough for clients, servers and the operator of a case.

use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request, as a server or a control listener reads it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// An answer, as a client reads it.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the framing says that the body is complete.
    pub is_whole: bool,
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

fn read_line(reader: &mut impl BufRead) -> Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(Error::from(ErrorKind::UnexpectedEof));
    }
    Ok(line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one request whose body has a length, or none.
pub fn read_request(reader: &mut impl BufRead) -> Result<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let path = words.next().unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let length = header(&headers, "Content-Length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Request { method, path, headers, body })
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Result<()> {
    loop {
        let size = usize::from_str_radix(read_line(reader)?.trim(), 16)
            .map_err(|_| Error::from(ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Ok(());
        }
    }
}

/// Reads one answer.
pub fn read_answer(reader: &mut impl BufRead) -> Result<Answer> {
    let line = read_line(reader)?;
    let status = line.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or_else(|| Error::from(ErrorKind::InvalidData))?;
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    let is_chunked = header(&headers, "Transfer-Encoding").is_some_and(|t| t.contains("chunked"));
    let is_whole = if is_chunked {
        read_chunks(reader, &mut body).is_ok()
    } else if let Some(length) = header(&headers, "Content-Length").and_then(|l| l.parse().ok()) {
        body = vec![0; length];
        reader.read_exact(&mut body).is_ok()
    } else {
        reader.read_to_end(&mut body).is_ok()
    };
    Ok(Answer { status, headers, body, is_whole })
}

/// Sends a request on a new connection and reads its answer.
pub fn exchange(to: SocketAddr, head: &str, body: &[u8], patience: Duration) -> Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(patience))?;
    let mut message = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)?;
    read_answer(&mut BufReader::new(stream))
}
