//! The platform's list of machines. It takes no orders: no case needs one.

use std::net::SocketAddr;

use cactuswheel_http::{Reply, json as reply, serve};
use hyper::{Method, Request, StatusCode, body::Incoming};
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::worker::Worker;

/// Serves the list of the machines on which these workers are.
pub async fn start(workers: Vec<Worker>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0))
        .await
        .expect("a free port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(serve(listener, move |request| {
        answer(workers.clone(), request)
    }));
    addr
}

async fn answer(workers: Vec<Worker>, request: Request<Incoming>) -> Reply {
    if request.method() != Method::GET {
        return reply(StatusCode::CONFLICT, &json!({ "reason": "busy" }));
    }
    let machines = workers.iter().map(|w| {
        json!({
            "machine": format!("m-{}", w.id), "pool": w.service, "zone": "z1",
            "state": if w.trouble().dark { "down" } else { "up" },
            "labels": w.labels, "id": w.id,
            "capacity": { "cpu": w.cpu, "mem_mb": 131_072, "gpu": 0 },
        })
    });
    let machines: Vec<Value> = machines.collect();
    reply(
        StatusCode::OK,
        &json!({ "machines": machines, "next_token": null }),
    )
}
