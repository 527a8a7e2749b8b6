//! Sends orders to engines over HTTP.
//!
//! The engine client is bound to one thread, so it runs on a dedicated thread. The lease is checked
//! again on that thread, after the order has waited in the channel.

use std::net::SocketAddr;
use std::{io, thread};

use ntex::rt::{DefaultRuntime, System};
use oleander_engine::{AttemptTimeouts, ClientSettings, EngineClient, EngineOrder, OrderAnswer};
use oleander_platform::BoxFuture;
use tokio::sync::{mpsc, oneshot};

use crate::desk::{OrderError, OrderSender, SendCheck};

struct OrderJob {
    address: SocketAddr,
    order: EngineOrder,
    may_send: SendCheck,
    reply: oneshot::Sender<Result<OrderAnswer, OrderError>>,
}

/// Sends orders with the engine client.
#[derive(Debug, Clone)]
pub struct EngineSender {
    jobs: mpsc::UnboundedSender<OrderJob>,
}

impl EngineSender {
    /// Starts the thread, which ends when the last clone of the sender is dropped.
    pub fn spawn(settings: ClientSettings, timeouts: AttemptTimeouts) -> io::Result<Self> {
        let (jobs, queue) = mpsc::unbounded_channel();
        thread::Builder::new()
            .name("order-sender".to_owned())
            .spawn(move || {
                let sending = send_jobs(queue, settings, timeouts);
                System::new("order-sender", DefaultRuntime).block_on(sending);
            })?;
        Ok(Self { jobs })
    }
}

impl OrderSender for EngineSender {
    fn send_order<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a EngineOrder,
        may_send: SendCheck,
    ) -> BoxFuture<'a, Result<OrderAnswer, OrderError>> {
        Box::pin(async move {
            let (reply, answer) = oneshot::channel();
            let job = OrderJob {
                address,
                order: order.clone(),
                may_send,
                reply,
            };
            self.jobs.send(job).map_err(|_| thread_ended_error())?;
            answer.await.map_err(|_| thread_ended_error())?
        })
    }
}

async fn send_jobs(
    mut queue: mpsc::UnboundedReceiver<OrderJob>,
    settings: ClientSettings,
    timeouts: AttemptTimeouts,
) {
    let client = match EngineClient::open(settings).await {
        Ok(client) => client,
        Err(error) => {
            log::error!("failed to open the engine client, orders cannot be sent: {error}");
            return;
        }
    };
    while let Some(job) = queue.recv().await {
        let client = client.clone();
        ntex::rt::spawn(async move { run_job(&client, job, timeouts).await });
    }
}

async fn run_job(client: &EngineClient, job: OrderJob, timeouts: AttemptTimeouts) {
    let result = if (job.may_send)() {
        let sent = client.send_order(job.address, &job.order, timeouts).await;
        sent.map_err(|error| OrderError {
            reason: error.to_string(),
        })
    } else {
        Err(OrderError {
            reason: "the lease is no longer held".to_owned(),
        })
    };
    // Sending fails if the caller has abandoned the order, which needs no answer.
    let _ = job.reply.send(result);
}

fn thread_ended_error() -> OrderError {
    OrderError {
        reason: "the sender's thread has ended".to_owned(),
    }
}
