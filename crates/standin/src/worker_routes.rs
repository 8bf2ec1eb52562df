//! HTTP routes of worker control.

use cactuswheel_http::{Call, Reply, json, read_json, text};
use cactuswheel_model::InstanceId;
use cactuswheel_platform::WorkerOrder;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use tokio::time::sleep;

use crate::Platform;

impl Platform {
    /// Serves `/worker-states`, `/workers/ID/ORDER`, `/worker-history` and `/reboots`.
    pub(crate) async fn answer_control(&self, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        match (request.method().clone(), parts.as_slice()) {
            (Method::GET, ["worker-history"]) => json(StatusCode::OK, &self.lock().control.history),
            (Method::POST, ["reboots"]) => self.set_reboots(request).await,
            (Method::POST, ["worker-states"]) => self.show_workers(request).await,
            (Method::POST, ["workers", id, action]) => self.order(id, action, request).await,
            _ => text(StatusCode::NOT_FOUND, "no such service"),
        }
    }

    async fn set_reboots(&self, request: Request<Incoming>) -> Reply {
        match read_json(request.into_body()).await {
            Ok(settings) => self.lock().control.settings = settings,
            Err(e) => return text(StatusCode::BAD_REQUEST, e),
        }
        text(StatusCode::OK, "set")
    }

    async fn show_workers(&self, request: Request<Incoming>) -> Reply {
        let ids: Vec<InstanceId> = match read_json(request.into_body()).await {
            Ok(ids) => ids,
            Err(e) => return text(StatusCode::BAD_REQUEST, e),
        };
        let mut states = Vec::new();
        for id in &ids {
            let state = self.with_control(|control, roster| control.state(id, roster));
            if let Some(mut state) = state {
                state.running = self.running(id).await;
                states.push(state);
            }
        }
        json(StatusCode::OK, &states)
    }

    /// Asks the instance for its number of running requests; `None` if it does not answer.
    async fn running(&self, id: &InstanceId) -> Option<u32> {
        let addr = self.lock().roster.get(id)?.addr;
        let answer = Call::get(addr, "/running").send().await.ok()?;
        answer.json().ok()
    }

    async fn order(&self, id: &str, action: &str, request: Request<Incoming>) -> Reply {
        let Ok(id) = id.parse::<InstanceId>() else {
            return text(StatusCode::BAD_REQUEST, "not a name");
        };
        match action {
            "lose" => self.with_control(|control, roster| control.mark_lost(&id, roster)),
            "return" => self.with_control(|control, roster| control.restore(&id, roster)),
            _ => return self.fenced_order(id, action, request).await,
        }
        text(StatusCode::OK, "done")
    }

    async fn fenced_order(
        &self,
        id: InstanceId,
        action: &str,
        request: Request<Incoming>,
    ) -> Reply {
        let order: WorkerOrder = match read_json(request.into_body()).await {
            Ok(order) => order,
            Err(e) => return text(StatusCode::BAD_REQUEST, e),
        };
        let result = match action {
            "drain" => self.with_control(|control, roster| control.drain(&id, order, roster)),
            "resume" => self.with_control(|control, roster| control.resume(&id, order, roster)),
            "reboot" => self.reboot(&id, order).await,
            _ => return text(StatusCode::NOT_FOUND, "no such order"),
        };
        match result {
            Ok(()) => text(StatusCode::OK, "done"),
            Err(e) => text(StatusCode::CONFLICT, e),
        }
    }

    async fn reboot(&self, id: &InstanceId, order: WorkerOrder) -> Result<(), String> {
        let running = self.running(id).await;
        let downtime =
            self.with_control(|control, roster| control.reboot(id, order, running, roster))?;
        if let Some(delay) = downtime {
            let (platform, id) = (self.clone(), id.clone());
            tokio::spawn(async move {
                sleep(delay).await;
                platform.with_control(|control, roster| control.restore(&id, roster));
            });
        }
        Ok(())
    }
}
