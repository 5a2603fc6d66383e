//! Backend servers that reject requests and send a copy of the rejection in the place of a later answer.

use leverstream_standin::origin::{Reply, ScriptedReply};
use leverstream_tests::site::{Call, NON_REPEATABLE, REPEATABLE, Site};

/// The replies that scripts are made of.
const SCRIPTED: [ScriptedReply; 5] = [
    ScriptedReply::Serve,
    ScriptedReply::Reject,
    ScriptedReply::RejectTwice,
    ScriptedReply::RejectWithLateCopy,
    ScriptedReply::RejectAndClose,
];

/// The number of requests to each script of three replies.
const REQUESTS_A_SCRIPT: usize = 3;

/// The number of requests.
const REQUESTS: usize = 40;

/// Guards against a late copy of a rejection that passes for the answer to the next send of the same request on the same
/// connection: the request ran, yet it was sent again, or its caller got the answer that it has not run.
#[actix_rt::test]
async fn a_copy_of_a_rejection_does_not_answer_the_next_send_of_its_request() {
    let site = Site::start(1, 1).await;
    site.set_all_replies(Reply::RejectionCopied);
    let mut refused = 0;
    for number in 0..REQUESTS {
        let path = format!("{NON_REPEATABLE}{number}");
        let answer = Call::new(&path).send(&site.vms[0]).await.expect("an answer arrives");
        let runs = site.runs(&path);
        match answer.status {
            200 => assert_eq!(runs, 1, "{path}"),
            503 => assert_eq!(runs, 0, "{path} was answered as not run"),
            status => panic!("{path}: status {status}"),
        }
        refused += usize::from(answer.status == 503);
    }
    assert!(refused < REQUESTS, "requests on connections that are in use are served");
    let answer = Call::new(REPEATABLE).send(&site.vms[0]).await.expect("an answer arrives");
    assert!(matches!(answer.status, 200 | 503));
}

/// Guards against any order of answers, copies and closed connections in which a request that runs counts as not run.
#[actix_rt::test]
async fn no_order_of_rejections_and_their_copies_hides_that_a_request_runs() {
    let site = Site::start(1, 1).await;
    let scripts = SCRIPTED.iter().flat_map(|first| {
        SCRIPTED.iter().flat_map(move |second| SCRIPTED.map(|third| [*first, *second, third]))
    });
    let mut served = 0;
    for (number, script) in scripts.enumerate() {
        site.origins[0].set_script(&script);
        for request in 0..REQUESTS_A_SCRIPT {
            let path = format!("{NON_REPEATABLE}{number}/{request}");
            let answer = Call::new(&path).send(&site.vms[0]).await.expect("an answer arrives");
            let (status, runs) = (answer.status, site.runs(&path));
            assert!(runs <= 1, "{script:?}, request {request} ran {runs} times, status {status}");
            assert!(runs == 0 || status != 503, "{script:?}, request {request} ran, status 503");
            assert!(
                runs == 1 || status != 200,
                "{script:?}, request {request} did not run, status 200"
            );
            served += usize::from(status == 200);
        }
    }
    assert!(served > SCRIPTED.len().pow(3), "requests are served: {served}");
}
