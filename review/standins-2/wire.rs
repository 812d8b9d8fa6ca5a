//! MessagePack values, and a small HTTP/1.1 server and client.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

#[derive(Debug, Clone, PartialEq)]
pub enum V {
    Nil,
    Bool(bool),
    Int(u64),
    F(f64),
    S(String),
    A(Vec<V>),
    M(Vec<(String, V)>),
}

pub fn s(text: &str) -> V {
    V::S(text.to_string())
}

/// Builds a map.
pub fn m(fields: Vec<(&str, V)>) -> V {
    V::M(fields.into_iter().map(|(k, v)| (k.to_string(), v)).collect())
}

impl V {
    pub fn get(&self, key: &str) -> &V {
        match self {
            V::M(fields) => fields.iter().find(|f| f.0 == key).map_or(&V::Nil, |f| &f.1),
            _ => &V::Nil,
        }
    }
    pub fn int(&self) -> Option<u64> {
        match self {
            V::Int(n) => Some(*n),
            V::F(f) => Some(*f as u64),
            _ => None,
        }
    }
    pub fn f(&self) -> f64 {
        match self {
            V::Int(n) => *n as f64,
            V::F(f) => *f,
            _ => 0.0,
        }
    }
    pub fn text(&self) -> &str {
        match self {
            V::S(t) => t,
            _ => "",
        }
    }
    pub fn list(&self) -> &[V] {
        match self {
            V::A(items) => items,
            _ => &[],
        }
    }
    pub fn yes(&self) -> bool {
        *self == V::Bool(true)
    }
    /// Size as JSON, approximately (for page limits).
    pub fn json_len(&self) -> usize {
        match self {
            V::Nil => 4,
            V::Bool(_) => 5,
            V::Int(n) => n.to_string().len(),
            V::F(f) => format!("{f:?}").len(),
            V::S(t) => t.len() + 2,
            V::A(items) => 2 + items.iter().map(|v| v.json_len() + 1).sum::<usize>(),
            V::M(f) => 2 + f.iter().map(|(k, v)| k.len() + 4 + v.json_len()).sum::<usize>(),
        }
    }
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.put(&mut out);
        out
    }
    fn put(&self, out: &mut Vec<u8>) {
        match self {
            V::Nil => out.push(0xc0),
            V::Bool(b) => out.push(if *b { 0xc3 } else { 0xc2 }),
            V::Int(n) if *n < 128 => out.push(*n as u8),
            V::Int(n) => {
                out.push(0xcf);
                out.extend(n.to_be_bytes());
            }
            V::F(f) => {
                out.push(0xcb);
                out.extend(f.to_be_bytes());
            }
            V::S(t) => put_text(t, out),
            V::A(items) => {
                out.push(0xdd);
                out.extend((items.len() as u32).to_be_bytes());
                items.iter().for_each(|v| v.put(out));
            }
            V::M(fields) => {
                out.push(0xdf);
                out.extend((fields.len() as u32).to_be_bytes());
                for (k, v) in fields {
                    put_text(k, out);
                    v.put(out);
                }
            }
        }
    }
    pub fn decode(bytes: &[u8]) -> Option<V> {
        let mut at = 0;
        let v = take(bytes, &mut at)?;
        (at == bytes.len()).then_some(v)
    }
}

fn put_text(t: &str, out: &mut Vec<u8>) {
    if t.len() < 32 {
        out.push(0xa0 | t.len() as u8);
    } else {
        out.push(0xdb);
        out.extend((t.len() as u32).to_be_bytes());
    }
    out.extend(t.as_bytes());
}

fn num(b: &[u8], at: &mut usize, n: usize) -> Option<u64> {
    let part = b.get(*at..*at + n)?;
    *at += n;
    Some(part.iter().fold(0, |v, x| (v << 8) | u64::from(*x)))
}

fn text(b: &[u8], at: &mut usize, n: usize) -> Option<String> {
    let part = b.get(*at..*at + n)?;
    *at += n;
    String::from_utf8(part.to_vec()).ok()
}

fn items(b: &[u8], at: &mut usize, n: usize) -> Option<V> {
    (0..n).map(|_| take(b, at)).collect::<Option<Vec<V>>>().map(V::A)
}

fn fields(b: &[u8], at: &mut usize, n: usize) -> Option<V> {
    let mut f = Vec::new();
    for _ in 0..n {
        let V::S(k) = take(b, at)? else { return None };
        f.push((k, take(b, at)?));
    }
    Some(V::M(f))
}

fn take(b: &[u8], at: &mut usize) -> Option<V> {
    let c = *b.get(*at)?;
    *at += 1;
    Some(match c {
        0..=0x7f => V::Int(u64::from(c)),
        0x80..=0x8f => fields(b, at, (c & 15) as usize)?,
        0x90..=0x9f => items(b, at, (c & 15) as usize)?,
        0xa0..=0xbf => V::S(text(b, at, (c & 31) as usize)?),
        0xc0 => V::Nil,
        0xc2 => V::Bool(false),
        0xc3 => V::Bool(true),
        0xca => V::F(f64::from(f32::from_bits(num(b, at, 4)? as u32))),
        0xcb => V::F(f64::from_bits(num(b, at, 8)?)),
        0xcc => V::Int(num(b, at, 1)?),
        0xcd => V::Int(num(b, at, 2)?),
        0xce => V::Int(num(b, at, 4)?),
        0xcf => V::Int(num(b, at, 8)?),
        0xd0 => V::F(num(b, at, 1)? as i8 as f64),
        0xd1 => V::F(num(b, at, 2)? as i16 as f64),
        0xd2 => V::F(num(b, at, 4)? as i32 as f64),
        0xd3 => {
            let n = num(b, at, 8)? as i64;
            if n >= 0 { V::Int(n as u64) } else { V::F(n as f64) }
        }
        0xd9 => {
            let n = num(b, at, 1)? as usize;
            V::S(text(b, at, n)?)
        }
        0xda => {
            let n = num(b, at, 2)? as usize;
            V::S(text(b, at, n)?)
        }
        0xdb => {
            let n = num(b, at, 4)? as usize;
            V::S(text(b, at, n)?)
        }
        0xdc => {
            let n = num(b, at, 2)? as usize;
            items(b, at, n)?
        }
        0xdd => {
            let n = num(b, at, 4)? as usize;
            items(b, at, n)?
        }
        0xde => {
            let n = num(b, at, 2)? as usize;
            fields(b, at, n)?
        }
        0xdf => {
            let n = num(b, at, 4)? as usize;
            fields(b, at, n)?
        }
        0xe0..=0xff => V::F(f64::from(c as i8)),
        _ => return None,
    })
}

pub struct Req {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

impl Req {
    pub fn route(&self) -> &str {
        self.path.split('?').next().unwrap_or("")
    }
    pub fn query(&self) -> BTreeMap<String, String> {
        let q = self.path.split_once('?').map_or("", |p| p.1);
        let pairs = q.split('&').filter_map(|p| p.split_once('='));
        pairs.map(|(k, v)| (k.to_string(), v.to_string())).collect()
    }
}

/// The answer to a request; `None` closes the connection without one.
pub type Answer = Option<(u16, V)>;
pub type Handler = Arc<dyn Fn(Req) -> Answer + Send + Sync>;

/// Head and body of one message, read from the stream; `None` at its end.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).to_string();
            let length = head
                .lines()
                .filter_map(|l| l.split_once(':'))
                .find(|(k, _)| k.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, v)| v.trim().parse::<usize>().ok())
                .unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        let mut part = [0u8; 16384];
        match stream.read(&mut part) {
            Ok(n) if n > 0 => buffer.extend(&part[..n]),
            _ => return None,
        }
    }
}

pub fn serve(listener: TcpListener, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), handler) = (stream, handler.clone()) else { continue };
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut buffer = Vec::new();
                while let Some((head, body)) = read_message(&mut stream, &mut buffer) {
                    let mut first = head.split_whitespace();
                    let req = Req {
                        method: first.next().unwrap_or("").into(),
                        path: first.next().unwrap_or("").into(),
                        body,
                    };
                    let Some((status, body)) = handler(req) else { return };
                    let body = if body == V::Nil { Vec::new() } else { body.encode() };
                    let mut out = format!(
                        "HTTP/1.1 {status} X\r\nContent-Length: {}\r\nContent-Type: application/msgpack\r\n\r\n",
                        body.len()
                    )
                    .into_bytes();
                    out.extend(body);
                    if stream.write_all(&out).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

/// A client connection that is kept open between requests.
#[derive(Default)]
pub struct Client {
    open: Option<(SocketAddr, TcpStream)>,
}

impl Client {
    pub fn close(&mut self) {
        self.open = None;
    }
    /// Sends one request; `None` without a complete response in time.
    pub fn send(&mut self, to: SocketAddr, method: &str, path: &str, body: Option<&V>, timeout_s: f64) -> Option<(u16, V)> {
        let kept = self.open.take().filter(|(a, _)| *a == to).map(|(_, st)| st);
        let deadline = Instant::now() + Duration::from_secs_f64(timeout_s);
        let mut stream = match kept {
            Some(stream) => stream,
            None => TcpStream::connect_timeout(&to, Duration::from_secs_f64(timeout_s)).ok()?,
        };
        let _ = stream.set_nodelay(true);
        let body = body.map(V::encode).unwrap_or_default();
        let mut out = format!("{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
        out.extend(body);
        stream.write_all(&out).ok()?;
        let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left)).ok()?;
        let (head, body) = read_message(&mut stream, &mut Vec::new())?;
        let status = head.split_whitespace().nth(1)?.parse().ok()?;
        let close = head.lines().any(|l| l.to_ascii_lowercase().replace(' ', "") == "connection:close");
        if !close {
            self.open = Some((to, stream));
        }
        Some((status, if body.is_empty() { V::Nil } else { V::decode(&body)? }))
    }
}
