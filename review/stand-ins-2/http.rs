//! HTTP/1.1 with bodies of known length, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// A request that a stand-in has received.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

/// The answer to a call.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub body: String,
    pub location: Option<String>,
}

type Headers = Vec<(String, String)>;

fn read_headers(stream: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known == name);
    found.map(|(_, value)| value.as_str())
}

fn read_body(stream: &mut impl BufRead, headers: &Headers) -> io::Result<String> {
    let length = header(headers, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// Reads the next request; `None` when the connection has ended.
pub fn read_request(stream: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace().map(str::to_owned);
    let (Some(method), Some(path)) = (words.next(), words.next()) else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let headers = read_headers(stream)?;
    let body = read_body(stream, &headers)?;
    Ok(Some(Request {
        method,
        path,
        headers,
        body,
    }))
}

pub fn write_response(mut stream: &TcpStream, status: u16, body: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// Makes one call over a connection of its own.
pub fn call(
    address: SocketAddrV4,
    (method, path): (&str, &str),
    headers: &[(&str, &str)],
    body: &str,
    wait: Duration,
) -> io::Result<Reply> {
    let mut stream = TcpStream::connect_timeout(&address.into(), wait)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "host") {
        text += &format!("host: {address}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!(
        "content-type: application/json\r\ncontent-length: {}\r\n",
        body.len()
    );
    text += &format!("connection: close\r\n\r\n{body}");
    stream.write_all(text.as_bytes())?;
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    stream.read_line(&mut line)?;
    let status = line.split_whitespace().nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or(io::ErrorKind::UnexpectedEof)?;
    let headers = read_headers(&mut stream)?;
    Ok(Reply {
        status,
        body: read_body(&mut stream, &headers)?,
        location: header(&headers, "location").map(str::to_owned),
    })
}

/// The text after `"name":` in a flat JSON object.
fn value<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":");
    let at = body.find(&key)? + key.len();
    Some(body[at..].trim_start())
}

pub fn number(body: &str, name: &str) -> Option<u64> {
    let rest = value(body, name)?;
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}

/// A string without escapes.
pub fn string(body: &str, name: &str) -> Option<String> {
    let rest = value(body, name)?.strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}
