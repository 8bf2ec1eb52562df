//! The platform's metadata store (PROTOCOL.md): a log with keyed topics.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Request, Response, serve};
use crate::record::Record;

/// Largest record and largest total of the records of one call, as in the settings of a small
/// deployment (`platform.record_bytes`, `platform.call_bytes`).
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
/// Time that an append takes.
const APPEND_TIME: Duration = Duration::from_millis(4);
/// A page of newest records holds at most this many records, or this many bytes.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// Number of appends of a producer whose response is repeated.
const REMEMBERED: usize = 5;

#[derive(Default)]
struct Part {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
    producers: HashMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    recent: VecDeque<(u64, Value)>,
    next: u64,
}

/// Partitions by topic and number.
type Parts = HashMap<(String, u64), Arc<Mutex<Part>>>;

/// The store; clones share its state.
#[derive(Clone)]
pub struct Store {
    parts: Arc<Mutex<Parts>>,
    changed: Arc<(Mutex<u64>, Condvar)>,
    record: Arc<Record>,
}

impl Store {
    /// Starts the store on a free port of the loopback address.
    pub fn start(record: Arc<Record>) -> (Self, SocketAddr) {
        let store = Self {
            parts: Arc::default(),
            changed: Arc::default(),
            record,
        };
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let served = store.clone();
        serve(listener, move |r| Some(served.answer(&r)));
        (store, addr)
    }

    /// Writes a record for an operator or an executor; no value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let part = self.part(topic, 0);
        add(&mut part.lock().expect("store"), keyed(key, value), true);
        self.notify();
    }

    /// Size of the newest records of all keys of a topic, in bytes.
    pub fn size(&self, topic: &str) -> usize {
        let parts = self.parts.lock().expect("store");
        let parts = parts.iter().filter(|((name, _), _)| name == topic);
        let sizes = parts.map(|(_, part)| {
            let part = part.lock().expect("store");
            let newest = part.newest.iter();
            newest.map(|(k, (v, _))| k.len() + v.len()).sum::<usize>()
        });
        sizes.sum()
    }

    fn part(&self, topic: &str, part: u64) -> Arc<Mutex<Part>> {
        let mut parts = self.parts.lock().expect("store");
        parts.entry((topic.to_owned(), part)).or_default().clone()
    }

    fn notify(&self) {
        *self.changed.0.lock().expect("store") += 1;
        self.changed.1.notify_all();
    }

    fn answer(&self, request: &Request) -> Response {
        let topic = request.param("topic").unwrap_or_default();
        let part = self.part(topic, request.number("part").unwrap_or(0));
        match request.path.as_str() {
            "/v1/log-append" => {
                let response = self.append(request, topic, &part);
                self.notify();
                response
            }
            "/v1/log-read" => self.read(request, &part),
            "/v1/log-newest" => newest(request, &part),
            _ => Response::json(404, &json!({})),
        }
    }

    fn append(&self, request: &Request, topic: &str, part: &Mutex<Part>) -> Response {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return Response::json(403, &json!({}));
        }
        let mut part = part.lock().expect("store");
        std::thread::sleep(APPEND_TIME);
        let records = split(&request.body);
        let largest = records.iter().map(Vec::len).max().unwrap_or(0);
        let total: usize = records.iter().map(Vec::len).sum();
        if largest > RECORD_BYTES || total > CALL_BYTES {
            self.record.line(format!(
                "store: append to {topic} refused with 400: largest record {largest} bytes, \
                 together {total} bytes"
            ));
            return Response::json(400, &json!({ "error": "record or call too large" }));
        }
        if let Some(refusal) = check_producer(&mut part, request) {
            return refusal;
        }
        let end = part.records.len() as u64;
        if request.number("at").is_some_and(|at| at != end) {
            return Response::json(412, &json!({ "end": end }));
        }
        for record in records {
            add(&mut part, record, topic.starts_with("keyed."));
        }
        let body = json!({ "offset": end, "end": part.records.len() });
        if let (Some(name), Some(seq)) = (request.param("producer"), request.number("seq"))
            && let Some(producer) = part.producers.get_mut(name)
        {
            producer.next = seq + 1;
            producer.recent.push_back((seq, body.clone()));
            if producer.recent.len() > REMEMBERED {
                producer.recent.pop_front();
            }
        }
        Response::json(200, &body)
    }

    fn read(&self, request: &Request, part: &Mutex<Part>) -> Response {
        let from = request.number("from").unwrap_or(0) as usize;
        let max = request.number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let wait = Duration::from_millis(request.number("wait_ms").unwrap_or(0).min(30_000));
        let deadline = Instant::now() + wait;
        loop {
            let seen = *self.changed.0.lock().expect("store");
            let body = page(&part.lock().expect("store"), from, max);
            let left = deadline.saturating_duration_since(Instant::now());
            if body.len() > 16 || left.is_zero() {
                return Response { status: 200, body };
            }
            let changes = self.changed.0.lock().expect("store");
            if *changes == seen {
                let _ = self.changed.1.wait_timeout(changes, left);
            }
        }
    }
}

/// The response to an append that must not be executed.
fn check_producer(part: &mut Part, request: &Request) -> Option<Response> {
    let name = request.param("producer")?;
    let (epoch, seq) = (request.number("epoch")?, request.number("seq")?);
    let known = part.producers.entry(name.to_owned()).or_default();
    if epoch < known.epoch {
        return Some(Response::json(409, &json!({ "reason": "fenced" })));
    }
    if epoch > known.epoch || known.recent.is_empty() {
        known.epoch = epoch;
        known.recent.clear();
        return None;
    }
    if let Some((_, body)) = known.recent.iter().find(|(s, _)| *s == seq) {
        return Some(Response::json(200, body));
    }
    let next = known.next;
    (seq != next).then(|| Response::json(409, &json!({ "reason": "seq", "seq": next })))
}

fn page(part: &Part, from: usize, max: usize) -> Vec<u8> {
    let mut body = (part.records.len() as u64).to_be_bytes().to_vec();
    body.extend_from_slice(&0_u64.to_be_bytes());
    for record in part.records.iter().skip(from) {
        if body.len() > 16 && body.len() + record.len() > max {
            break;
        }
        body.extend_from_slice(&(record.len() as u32).to_be_bytes());
        body.extend_from_slice(record);
    }
    body
}

fn newest(request: &Request, part: &Mutex<Part>) -> Response {
    let after = request.param("after").unwrap_or_default().to_owned();
    let part = part.lock().expect("store");
    let mut items = Vec::new();
    let mut size = 0;
    let mut more = false;
    for (key, (value, offset)) in part.newest.range(after.clone()..) {
        if *key == after && !after.is_empty() {
            continue;
        }
        if items.len() == PAGE_RECORDS || (size > 0 && size + value.len() > PAGE_BYTES) {
            more = true;
            break;
        }
        size += value.len();
        items.push(json!({ "key": key, "value": base64(value), "offset": offset }));
    }
    let end = part.records.len();
    Response::json(
        200,
        &json!({ "items": items, "has_more": more, "end": end }),
    )
}

fn keyed(key: &str, value: &[u8]) -> Vec<u8> {
    let mut record = vec![key.len() as u8];
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value);
    record
}

fn add(part: &mut Part, record: Vec<u8>, is_keyed: bool) {
    let offset = part.records.len() as u64;
    if is_keyed && !record.is_empty() {
        let end = 1 + usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..end]).into_owned();
        match record.len() > end {
            true => part.newest.insert(key, (record[end..].to_vec(), offset)),
            false => part.newest.remove(&key),
        };
    }
    part.records.push(record);
}

fn split(body: &[u8]) -> Vec<Vec<u8>> {
    let mut found = Vec::new();
    let mut rest = body;
    while rest.len() >= 4 {
        let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        let end = (4 + length).min(rest.len());
        found.push(rest[4..end].to_vec());
        rest = &rest[end..];
    }
    found
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * place)) as usize & 63];
            out.push(if place <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    out
}
