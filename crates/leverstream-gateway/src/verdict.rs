//! Judges the answers of backend servers, and decides what callers get for those that failed.

use leverstream_core::{AnswerFacts, AnswerVerdict, judge_answer, promises_not_run};
use leverstream_error::Kind;
use leverstream_platform::headers;
use leverstream_wire::Answer;

/// An answer of a backend server with what it says about the request.
#[derive(Debug)]
pub(crate) struct JudgedAnswer {
    /// The answer.
    pub answer: Answer,
    /// What it says.
    pub verdict: AnswerVerdict,
}

impl JudgedAnswer {
    /// Tells whether the backend server failed.
    pub fn is_failure(&self) -> bool {
        self.verdict == AnswerVerdict::Failed
    }

    /// Returns what the caller gets.
    ///
    /// The status of a failure may be one that promises that the request has not run. Where the caller would send the
    /// request again for it, though it must not run twice, the caller gets an error that promises nothing.
    pub fn for_caller(self, is_repeatable: bool) -> Result<JudgedAnswer, Kind> {
        let is_false_promise = self.is_failure() && promises_not_run(self.answer.status);
        if is_false_promise && !is_repeatable { Err(Kind::AnswerInvalid) } else { Ok(self) }
    }
}

/// Returns what an answer says about its request, which may have an id.
pub(crate) fn judge(answer: &Answer, has_id: bool) -> AnswerVerdict {
    judge_answer(AnswerFacts {
        status: answer.status,
        is_marked_not_run: answer.field(headers::NOT_RUN).is_some(),
        lacks_id: has_id && answer.field(headers::REQUEST_ID).is_none(),
    })
}
