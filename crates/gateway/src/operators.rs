//! Operators' calls on the metrics address: metrics, quarantined requests, drained data centres.

use std::rc::Rc;

use bytes::Bytes;
use hyper::Method;
use oriolepass_quarantine::{CaseSummary, PartDigest, RequestDigest, Standing, SuspectId};
use oriolepass_units::DataCentreId;
use serde_json::{Value, json};

use crate::calls::{WholeAnswer, WholeCall, answer};
use crate::gateway::Gateway;
use crate::held_bytes::HeldKind;

/// The path that lists the requests and the parts of prompts under which endpoints ended.
const QUARANTINE_PATH: &str = "/quarantine";

/// The path that releases the request or the part whose digest is the call's body.
const RELEASE_PATH: &str = "/quarantine/release";

/// The path that lists the drained data centres. Followed by an id, it drains or restores that data
/// centre.
const DRAINED_PATH: &str = "/data-centres/drained";

/// Answers a call. Calls to any other path get the metrics.
pub(crate) async fn answer_operator(gateway: Rc<Gateway>, call: WholeCall) -> WholeAnswer {
    let path = call.uri().path();
    if let Some(data_centre) =
        path.strip_prefix(DRAINED_PATH).and_then(|rest| rest.strip_prefix('/'))
    {
        return change_drain(&gateway, call.method(), data_centre).await;
    }
    match (call.method(), path) {
        (&Method::GET, QUARANTINE_PATH) => answer(200, suspect_list(&gateway)),
        (&Method::POST, RELEASE_PATH) => release(&gateway, call.body()),
        (&Method::GET, DRAINED_PATH) => answer(200, drained_list(&gateway)),
        _ => {
            let dropped = i64::try_from(gateway.log.dropped()).unwrap_or(i64::MAX);
            gateway.metrics.lines_dropped.set(dropped);
            for kind in HeldKind::ALL {
                let bytes = i64::try_from(gateway.held.borrow().bytes(kind)).unwrap_or(i64::MAX);
                gateway.metrics.held_bytes.with_label_values(&[kind.name()]).set(bytes);
            }
            answer(200, gateway.metrics.render())
        }
    }
}

fn suspect_list(gateway: &Gateway) -> Bytes {
    let (requests, parts): (Vec<CaseSummary>, Vec<CaseSummary>) =
        gateway.suspects().into_iter().partition(|case| matches!(case.id, SuspectId::Request(_)));
    let list = |cases: &[CaseSummary]| cases.iter().map(case_json).collect::<Vec<Value>>();
    json!({ "requests": list(&requests), "parts": list(&parts) }).to_string().into()
}

fn case_json(case: &CaseSummary) -> Value {
    let (standing, trial_in) = match case.standing {
        Standing::Quarantined { trial_in } => ("quarantined", Some(trial_in.as_secs())),
        Standing::Suspect => ("suspect", None),
        Standing::Clear => ("clear", None),
    };
    let digest = match case.id {
        SuspectId::Request(digest) => digest.to_string(),
        SuspectId::Part(digest) => digest.to_string(),
    };
    let ends: Vec<String> = case.ends.iter().map(ToString::to_string).collect();
    json!({
        "digest": digest,
        "standing": standing,
        "trialInS": trial_in,
        "endpoints": ends,
        "lastEndAgeS": case.last_end.as_secs(),
    })
}

fn release(gateway: &Gateway, body: &[u8]) -> WholeAnswer {
    let text = String::from_utf8_lossy(body);
    let digest: RequestDigest = match text.trim().parse() {
        Ok(digest) => digest,
        Err(error) => return answer(400, json!({ "error": error.to_string() }).to_string()),
    };
    let part = text.trim().parse().ok().filter(|part: &PartDigest| gateway.release_part(*part));
    let is_released = part.is_some() || gateway.release_request(digest);
    gateway
        .quarantine_line(&part.map_or(digest.into(), SuspectId::Part))
        .text("outcome", if is_released { "released by an operator" } else { "not known" });
    answer(200, json!({ "released": is_released }).to_string())
}

fn drained_list(gateway: &Gateway) -> String {
    let names: Vec<String> =
        gateway.drained_data_centres().iter().map(ToString::to_string).collect();
    json!({ "drained": names }).to_string()
}

async fn change_drain(gateway: &Rc<Gateway>, method: &Method, data_centre: &str) -> WholeAnswer {
    let is_drained = match *method {
        Method::POST => true,
        Method::DELETE => false,
        _ => return refusal(405, "use POST to drain a data centre and DELETE to restore it"),
    };
    let data_centre: DataCentreId = match data_centre.parse() {
        Ok(data_centre) => data_centre,
        Err(error) => return refusal(400, &format!("{error}")),
    };
    match gateway.set_data_centre_drained(&data_centre, is_drained).await {
        Ok(()) => answer(200, drained_list(gateway)),
        Err(error) => refusal(503, &error.to_string()),
    }
}

fn refusal(status: u16, reason: &str) -> WholeAnswer {
    answer(status, json!({ "error": reason }).to_string())
}
