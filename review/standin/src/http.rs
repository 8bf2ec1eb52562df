//! Minimal HTTP/1.1 server and client over blocking sockets, one thread per connection.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;

/// A request as received by a server.
pub struct Request {
    pub path: String,
    /// Parameters of the query, decoded.
    pub query: Vec<(String, String)>,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn param(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.param(name)?.parse().ok()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// A response: status and body.
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn json(status: u16, body: &Value) -> Self {
        let body = body.to_string().into_bytes();
        Self { status, body }
    }

    pub fn value(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// Serves `listener` until the process ends. A handler that returns `None` closes the connection
/// without a response.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(Request) -> Option<Response> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    handler: &(impl Fn(Request) -> Option<Response> + ?Sized),
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let Some(response) = handler(request) else {
            return Ok(());
        };
        let mut out = format!(
            "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            response.status,
            response.body.len()
        )
        .into_bytes();
        out.extend_from_slice(&response.body);
        writer.write_all(&out)?;
    }
    Ok(())
}

fn read_request(reader: &mut impl BufRead) -> std::io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let target = line
        .split_whitespace()
        .nth(1)
        .unwrap_or_default()
        .to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let (headers, body) = read_rest(reader)?;
    Ok(Some(Request {
        path: path.to_owned(),
        query: query.split('&').filter_map(decode_param).collect(),
        headers,
        body,
    }))
}

type Rest = (Vec<(String, String)>, Vec<u8>);

fn read_rest(reader: &mut impl BufRead) -> std::io::Result<Rest> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line == "\r\n" {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length = headers.iter().find(|(n, _)| n == "content-length");
    let length = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((headers, body))
}

fn decode_param(param: &str) -> Option<(String, String)> {
    let (name, value) = param.split_once('=')?;
    let bytes = value.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| value.get(at + 1..at + 3))
            .flatten();
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    Some((name.to_owned(), String::from_utf8_lossy(&out).into_owned()))
}

/// Makes one call on a new connection. `limit` bounds the connection and each read.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> std::io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!(
        "content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    ));
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split_whitespace().nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or_else(|| std::io::Error::other("no status line"))?;
    let (_, body) = read_rest(&mut reader)?;
    Ok(Response { status, body })
}
