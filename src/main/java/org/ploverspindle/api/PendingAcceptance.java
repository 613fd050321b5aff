package org.ploverspindle.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.ploverspindle.model.JobSpec;

/**
 * A job on its way into the store, with all who asked for it here meanwhile.
 *
 * @param guards jobs whose cancellation would make "queued" an old answer
 * @param askers answered by the write, as they asked before it went out
 * @param late who asked when it was too late for the write's conditions to speak for them: the job
 *     may have been accepted and called over elsewhere before they asked
 */
record PendingAcceptance(
    JobSpec spec,
    JsonNode record,
    int bytes,
    long receivedMs,
    List<String> guards,
    List<Consumer<ApiResponse>> askers,
    List<Consumer<ApiResponse>> late) {

  static PendingAcceptance of(Submission submission, List<String> guards) {
    return new PendingAcceptance(
        submission.spec(),
        submission.record(),
        submission.bytes(),
        submission.receivedMs(),
        guards,
        new ArrayList<>(List.of(submission.responder())),
        new ArrayList<>());
  }

  PendingAcceptance guardedBy(List<String> others) {
    return new PendingAcceptance(spec, record, bytes, receivedMs, others, askers, late);
  }

  String uid() {
    return spec.uid();
  }

  void answer(ApiResponse answer) {
    askers.forEach(asker -> asker.accept(answer));
  }

  void answerAll(ApiResponse answer) {
    answer(answer);
    late.forEach(asker -> asker.accept(answer));
  }

  /** Do the write's conditions speak for those who ask before it goes out? */
  boolean isGuarded() {
    return spec.dependencies().isEmpty() || !guards.isEmpty();
  }
}
