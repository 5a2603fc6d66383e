//! Tests of what a caller gets for the answer of a VM that a request was passed on to.

use bytes::Bytes;
use leverstream_error::{KIND_HEADER, Kind};
use leverstream_gateway::{RelayedRequestFacts, relayed_answer};
use leverstream_platform::headers;
use leverstream_wire::Answer;

/// The statuses that promise a caller that the request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// The statuses of the table.
const STATUSES: [u16; 12] = [200, 302, 400, 404, 408, 421, 429, 500, 502, 503, 504, 599];

/// All combinations of three facts.
const FACTS: [(bool, bool, bool); 8] = [
    (false, false, false),
    (false, false, true),
    (false, true, false),
    (false, true, true),
    (true, false, false),
    (true, false, true),
    (true, true, false),
    (true, true, true),
];

/// Builds an answer from header fields.
fn answer(status: u16, fields: &[(&str, &str)]) -> Answer {
    let fields = fields.iter().map(|(name, value)| ((*name).to_owned(), value.as_bytes().to_vec()));
    Answer { status, fields: fields.collect(), body: Bytes::new() }
}

/// Returns the status that the caller gets.
fn status_of(result: &Result<Answer, Kind>) -> u16 {
    match result {
        Ok(answer) => answer.status,
        // A request that has not run gets 503 in place of any other error of the server.
        Err(kind) if kind.is_not_run() => 503,
        Err(kind) => kind.answer().status,
    }
}

/// Guards against a failure that a VM of an earlier release passes on as it is, and against a mark that is taken to speak of an
/// earlier send too: in no case may the caller be promised that a request did not run which may have run.
#[test]
fn no_answer_of_a_backend_server_over_another_vm_becomes_a_false_promise() {
    for status in STATUSES {
        for (is_marked, has_stamp, has_answered_id) in FACTS {
            for (is_repeatable, has_id, has_earlier) in FACTS {
                let all = [
                    (is_marked, (headers::NOT_RUN, "1")),
                    (has_stamp, (headers::INSTANCE_STAMP, "i-0")),
                    (has_answered_id, (headers::REQUEST_ID, "id-1")),
                ];
                let fields: Vec<_> =
                    all.iter().filter(|(is_set, _)| *is_set).map(|(_, it)| *it).collect();
                // Only a request that may run twice is passed on after it may have run.
                let earlier = has_earlier.then_some(Kind::AnswerCut).filter(|_| is_repeatable);
                let request = RelayedRequestFacts { is_repeatable, has_id, earlier };
                let result = relayed_answer(answer(status, &fields), request);
                let row = format!("{status} {fields:?} {request:?}: {result:?}");
                let may_have_run = (!is_marked && status != 421) || earlier.is_some();
                let is_promise = PROMISES.contains(&status_of(&result));
                let is_allowed = !may_have_run || (is_repeatable && result.is_ok());
                assert!(!is_promise || is_allowed, "{row}");
                let is_success = (200..400).contains(&status_of(&result));
                assert!(!is_success || !is_marked, "{row}");
            }
        }
    }
}

/// Guards against an error of the other VM that is changed, or that is believed though the request may have run before.
#[test]
fn the_other_vm_s_own_error_is_passed_on_unless_the_request_may_have_run_before() {
    for kind in Kind::ALL {
        let own = || answer(kind.answer().status, &[(KIND_HEADER, &kind.to_string())]);
        let request = RelayedRequestFacts { is_repeatable: true, has_id: true, earlier: None };
        let first = relayed_answer(own(), request);
        assert_eq!(first.as_ref().map(|answer| answer.status), Ok(kind.answer().status), "{kind}");
        let request = RelayedRequestFacts { earlier: Some(Kind::AnswerTimeout), ..request };
        let later = relayed_answer(own(), request);
        match later {
            Ok(_) => assert!(!kind.is_not_run(), "{kind}"),
            Err(error) => assert_eq!((error, kind.is_not_run()), (Kind::AnswerTimeout, true)),
        }
    }
}

/// Guards against answers of the application that are lost on the way over another VM.
#[test]
fn an_answer_of_the_application_over_another_vm_is_passed_on() {
    let fields = [(headers::INSTANCE_STAMP, "i-0"), (headers::REQUEST_ID, "id-1")];
    for status in [200, 204, 302, 400, 404, 409, 500, 502, 504] {
        let request = RelayedRequestFacts { is_repeatable: false, has_id: true, earlier: None };
        let result = relayed_answer(answer(status, &fields), request);
        assert_eq!(result.map(|answer| answer.status), Ok(status));
    }
}
