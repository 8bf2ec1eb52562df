//! A request's way through one attempt or several.

use std::sync::Arc;

use cactuswheel_model::{Code, Ran, Refusal};
use cactuswheel_routing::{Exchange, Lease, Upstream};
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::time::Instant;

use super::attempt::{self, Failure};
use super::conns::Conns;
use super::held::Permit;
use super::job::Job;
use super::live::Live;
use super::payload::Payload;

/// What is known of a request while it is being sent.
#[derive(Debug)]
pub(super) struct Forward {
    job: Job,
    exchange: Exchange,
    /// The slot for the first attempt.
    first: Option<Lease<Conns>>,
    /// Upstreams that failed.
    tried: Vec<Arc<Upstream<Conns>>>,
    /// Why the last attempt failed.
    last: Option<Refusal>,
}

impl Forward {
    /// A request that was not sent yet.
    pub(super) fn new(job: Job, first: Lease<Conns>) -> Self {
        Self {
            exchange: Exchange::new(job.idempotent, job.deadline),
            job,
            first: Some(first),
            tried: Vec::new(),
            last: None,
        }
    }

    /// Sends the request until an answer comes or nothing more may be tried; the head of the
    /// answer, its body to follow.
    pub(super) async fn send(
        mut self,
        permit: Permit,
        request: Request<Payload>,
    ) -> Result<(Response<Incoming>, Live), Refusal> {
        let done = self.try_all(permit, request).await;
        done.map_err(|refusal| self.honest(refusal))
    }

    async fn try_all(
        &mut self,
        mut permit: Permit,
        mut request: Request<Payload>,
    ) -> Result<(Response<Incoming>, Live), Refusal> {
        loop {
            let lease = self.pick()?;
            let upstream = lease.upstream().clone();
            self.job.address(&mut request, upstream.addr)?;
            let copy = copy(&request);
            self.exchange.begin();
            let until = Instant::now() + self.job.left();
            match attempt::send(&self.job.shared, request, permit, lease, until).await {
                Ok(answered) => return Ok(answered),
                Err(failure) => (permit, request) = self.again(failure, copy).await?,
            }
            self.tried.push(upstream);
        }
    }

    fn pick(&mut self) -> Result<Lease<Conns>, Refusal> {
        if let Some(lease) = self.first.take() {
            lease.budget().deposit();
            return Ok(lease);
        }
        let routes = self.job.shared.routes.load();
        let pool = &self.job.service.pool;
        let (now, draw) = (self.job.shared.now(), rand::random());
        let picked = routes.pick(pool, &self.tried, now, draw);
        let lease = picked.map_err(|refusal| self.last.take().unwrap_or(refusal))?;
        Ok(lease)
    }

    /// What another attempt needs, if there may be one.
    async fn again(
        &mut self,
        failure: Failure,
        copy: Option<Request<Payload>>,
    ) -> Result<(Permit, Request<Payload>), Refusal> {
        let request = failure.request.map(|r| *r).or(copy);
        if !self.may_retry(failure.ran, request.is_some()) {
            return Err(failure.refusal);
        }
        let Some(request) = request else {
            return Err(failure.refusal);
        };
        // An attempt that may still be running keeps its unit; another attempt beside it needs
        // one more, or the team would have more running than its limit.
        let permit = match failure.permit {
            Some(permit) => *permit,
            None => match Permit::another(&self.job.shared, &self.job.team.id) {
                Ok(permit) => permit,
                Err(_) => return Err(failure.refusal),
            },
        };
        self.job.shared.metrics.requests.retried();
        self.last = Some(failure.refusal);
        Ok((permit, request))
    }

    fn may_retry(&mut self, ran: Ran, whole: bool) -> bool {
        let shared = &self.job.shared;
        let routes = shared.routes.load();
        let Some(budget) = routes.budget(&self.job.service.pool) else {
            return false;
        };
        self.exchange.failed(ran, whole, shared.now(), budget)
    }

    /// The refusal, not claiming more than all attempts together prove.
    fn honest(&self, refusal: Refusal) -> Refusal {
        let ran = refusal.code.ran();
        if self.exchange.ran(ran) == ran {
            return refusal;
        }
        Refusal {
            code: Code::Lost,
            retry: None,
            ..refusal
        }
    }
}

/// The same request for another attempt, if its body is at hand.
fn copy(request: &Request<Payload>) -> Option<Request<Payload>> {
    let mut copy = Request::new(request.body().again()?);
    *copy.method_mut() = request.method().clone();
    *copy.uri_mut() = request.uri().clone();
    *copy.headers_mut() = request.headers().clone();
    Some(copy)
}
