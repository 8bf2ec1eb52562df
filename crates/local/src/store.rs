//! The log store.

use std::collections::BTreeMap;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use cactuswheel_model::Map;
use hyper::StatusCode;
use hyper::body::Bytes;
use serde_json::{Value, json};

use crate::query::ParsedRequest;

/// Number of appends of a producer whose response is remembered, to repeat it for a repeated
/// append.
const MAX_REMEMBERED: usize = 5;

/// Maximum number of records in a page of newest records.
const PAGE_SIZE: usize = 500;

/// Maximum size of the values in a page of newest records, in bytes, if there is more than one.
const PAGE_BYTES: usize = 1 << 20;

/// The log store: partitions by topic and number.
#[derive(Debug, Default)]
pub(crate) struct Store {
    parts: Map<(String, u64), Part>,
}

#[derive(Debug, Default)]
struct Part {
    /// Offset of the first record that has not been deleted.
    first: u64,
    records: Vec<Bytes>,
    /// Newest value of each key, with the offset of its record.
    newest: BTreeMap<String, (Bytes, u64)>,
    producers: Map<String, Producer>,
}

#[derive(Debug, Default)]
struct Producer {
    epoch: u64,
    /// Sequence numbers and responses of the most recent appends, oldest first.
    recent: Vec<(u64, Value)>,
}

/// Status and JSON body of a response.
pub(crate) type JsonResponse = (StatusCode, Value);

impl Store {
    fn part(&mut self, request: &ParsedRequest) -> &mut Part {
        let topic = request.text("topic").unwrap_or_default().to_owned();
        let part = request.number("part").unwrap_or_default();
        self.parts.entry((topic, part)).or_default()
    }

    pub(crate) fn append(&mut self, request: &ParsedRequest) -> JsonResponse {
        let keyed = request
            .text("topic")
            .is_some_and(|t| t.starts_with("keyed."));
        let part = self.part(request);
        if let Some(refusal) = part.check_producer(request) {
            return refusal;
        }
        if request.number("at").is_some_and(|at| at != part.end()) {
            return (
                StatusCode::PRECONDITION_FAILED,
                json!({ "end": part.end() }),
            );
        }
        let offset = part.end();
        for record in split_records(&request.body) {
            part.add(record, keyed);
        }
        let response = json!({ "offset": offset, "end": part.end() });
        part.remember(request, &response);
        (StatusCode::OK, response)
    }

    /// Appends a keyed record to partition 0 of a topic, on behalf of an operator or a worker.
    pub(crate) fn put(&mut self, topic: &str, key: &str, value: &[u8]) {
        let part = self.parts.entry((topic.to_owned(), 0)).or_default();
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        part.add(record.into(), true);
    }

    /// Body of a response with all records from the requested offset on; `None` if there are none
    /// yet.
    pub(crate) fn read(
        &mut self,
        request: &ParsedRequest,
    ) -> Result<Option<Vec<u8>>, JsonResponse> {
        let from = request.number("from").unwrap_or_default();
        let part = self.part(request);
        if from < part.first {
            return Err((StatusCode::GONE, json!({ "first": part.first })));
        }
        let records = part.records.iter().skip((from - part.first) as usize);
        let mut body = Vec::new();
        body.extend_from_slice(&part.end().to_be_bytes());
        body.extend_from_slice(&part.first.to_be_bytes());
        let empty = body.len();
        for record in records {
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        Ok((body.len() > empty).then_some(body))
    }

    /// Body of a response without records, for a read whose wait has timed out.
    pub(crate) fn empty_page(&mut self, request: &ParsedRequest) -> Vec<u8> {
        let part = self.part(request);
        [part.end().to_be_bytes(), part.first.to_be_bytes()].concat()
    }

    pub(crate) fn newest(&mut self, request: &ParsedRequest) -> JsonResponse {
        let after = request.text("after").unwrap_or_default().to_owned();
        let part = self.part(request);
        let mut keys = part.newest.iter().filter(|(k, _)| **k > after);
        let mut items: Vec<Value> = Vec::new();
        let mut size = 0;
        let mut more = false;
        for (key, (value, offset)) in &mut keys {
            size += value.len();
            more = !items.is_empty() && (items.len() == PAGE_SIZE || size > PAGE_BYTES);
            if more {
                break;
            }
            items.push(json!({ "key": key, "value": STANDARD.encode(value), "offset": offset }));
        }
        (
            StatusCode::OK,
            json!({ "items": items, "has_more": more, "end": part.end() }),
        )
    }

    /// Newest value of a key in partition 0 of a topic.
    pub(crate) fn newest_value(&self, topic: &str, key: &str) -> Option<Bytes> {
        let part = self.parts.get(&(topic.to_owned(), 0))?;
        part.newest.get(key).map(|(value, _)| value.clone())
    }

    /// Whether any partition of a topic has a value for a key.
    pub(crate) fn has_key(&self, topic: &str, key: &str) -> bool {
        let mut parts = self.parts.iter().filter(|((t, _), _)| t == topic);
        parts.any(|(_, part)| part.newest.contains_key(key))
    }

    /// Deletes all records of every partition; the newest value of each key stays available.
    pub(crate) fn compact(&mut self) {
        for part in self.parts.values_mut() {
            part.first = part.end();
            part.records.clear();
        }
    }
}

impl Part {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn add(&mut self, record: Bytes, keyed: bool) {
        let offset = self.end();
        if keyed {
            let len = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..1 + len]).into_owned();
            let value = record.slice(1 + len..);
            match value.is_empty() {
                true => self.newest.remove(&key),
                false => self.newest.insert(key, (value, offset)),
            };
        }
        self.records.push(record);
    }

    /// Returns the response to an append that must not be executed: its producer is fenced off, its
    /// sequence number is wrong, or it repeats an earlier one.
    fn check_producer(&mut self, request: &ParsedRequest) -> Option<JsonResponse> {
        let producer = request.text("producer")?;
        let (epoch, seq) = (request.number("epoch")?, request.number("seq")?);
        let known = self.producers.entry(producer.to_owned()).or_default();
        if epoch < known.epoch {
            return Some((StatusCode::CONFLICT, json!({ "reason": "fenced" })));
        }
        if epoch > known.epoch {
            known.epoch = epoch;
            known.recent.clear();
            return None;
        }
        if let Some((_, response)) = known.recent.iter().find(|(s, _)| *s == seq) {
            return Some((StatusCode::OK, response.clone()));
        }
        let next = known.recent.last().map(|(s, _)| s + 1);
        let mismatch = next.filter(|n| *n != seq);
        mismatch.map(|n| (StatusCode::CONFLICT, json!({ "reason": "seq", "seq": n })))
    }

    /// Remembers the response to an append of a producer.
    fn remember(&mut self, request: &ParsedRequest, response: &Value) {
        let producer = request
            .text("producer")
            .and_then(|p| self.producers.get_mut(p));
        let (Some(producer), Some(seq)) = (producer, request.number("seq")) else {
            return;
        };
        producer.recent.push((seq, response.clone()));
        if producer.recent.len() > MAX_REMEMBERED {
            producer.recent.remove(0);
        }
    }
}

/// Splits the body of an append into its records, each of which follows its size in 4 bytes.
fn split_records(body: &Bytes) -> Vec<Bytes> {
    let mut found = Vec::new();
    let mut rest = body.clone();
    while rest.len() >= 4 {
        let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        found.push(rest.slice(4..4 + len));
        rest = rest.slice(4 + len..);
    }
    found
}
