//! Tests of what an answer says about the request, over all statuses and header fields.

use leverstream_core::{AnswerFacts, AnswerVerdict, judge_answer, promises_not_run};

/// All statuses with which an answer may end a request.
const STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// Returns the verdicts on all answers with a status.
fn verdicts(status: u16) -> impl Iterator<Item = (AnswerFacts, AnswerVerdict)> {
    let signs = [(false, false), (false, true), (true, false), (true, true)];
    signs.into_iter().map(move |(is_marked_not_run, lacks_id)| {
        let signs = AnswerFacts { status, is_marked_not_run, lacks_id };
        (signs, judge_answer(signs))
    })
}

/// Guards against an answer that counts as not run by its status alone, and against a final answer whose status is a promise
/// that nothing but the status makes.
#[test]
fn only_the_mark_or_another_server_s_address_says_that_a_request_did_not_run() {
    for (signs, verdict) in STATUSES.flat_map(verdicts) {
        let may_say_so = signs.is_marked_not_run || signs.status == 421;
        assert!(may_say_so || !verdict.is_not_run(), "{signs:?}: {verdict:?}");
        let is_final = matches!(verdict, AnswerVerdict::Served | AnswerVerdict::Declined);
        assert!(!(is_final && promises_not_run(signs.status)), "{signs:?}: {verdict:?}");
    }
}

/// Guards against a mark that goes unheeded: the request would count as run, and would not be sent to another backend server.
#[test]
fn a_marked_error_never_counts_as_run() {
    for (signs, verdict) in STATUSES.flat_map(verdicts) {
        if signs.is_marked_not_run && signs.status >= 400 {
            assert!(verdict.is_not_run(), "{signs:?}: {verdict:?}");
        }
    }
}

/// Guards against each single rule that is changed by mistake.
#[test]
fn each_kind_of_answer_has_its_verdict() {
    use AnswerVerdict::{Declined, Failed, Invalid, Misdirected, Rejected, Served};
    // For each status: the verdict without and with the mark, for an answer with the id of its request.
    let table = [
        (200, Served, Invalid),
        (204, Served, Invalid),
        (304, Served, Invalid),
        (400, Served, Declined),
        (404, Served, Declined),
        (408, Failed, Rejected),
        (409, Served, Declined),
        (421, Misdirected, Misdirected),
        (429, Failed, Rejected),
        (431, Served, Declined),
        (500, Failed, Rejected),
        (502, Failed, Rejected),
        (503, Failed, Rejected),
        (504, Failed, Rejected),
        (599, Failed, Rejected),
    ];
    for (status, without, with) in table {
        let signs = AnswerFacts { status, is_marked_not_run: false, lacks_id: false };
        assert_eq!(judge_answer(signs), without, "{status}");
        let marked = AnswerFacts { is_marked_not_run: true, ..signs };
        assert_eq!(judge_answer(marked), with, "{status}, marked");
        let lacks_id = AnswerFacts { lacks_id: true, ..signs };
        let expected = if status < 400 { Invalid } else { without };
        assert_eq!(judge_answer(lacks_id), expected, "{status}, without its id");
    }
}
