package org.ploverspindle.front;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.ploverspindle.jobs.JobSpec;

/**
 * A job on its way into the store, with all who asked for it here meanwhile.
 *
 * @param guards jobs whose cancellation would make "queued" an old answer
 * @param askers answered by the write, as they asked before it went out
 * @param late who asked when it was too late for the write's conditions to speak for them: the job
 *     may have been accepted and called over elsewhere before they asked
 */
record Creation(
    JobSpec spec,
    JsonNode value,
    int bytes,
    long cameMs,
    List<String> guards,
    List<Consumer<Answer>> askers,
    List<Consumer<Answer>> late) {

  static Creation of(Submission submission, List<String> guards) {
    return new Creation(
        submission.spec(),
        submission.value(),
        submission.bytes(),
        submission.cameMs(),
        guards,
        new ArrayList<>(List.of(submission.then())),
        new ArrayList<>());
  }

  Creation guardedBy(List<String> others) {
    return new Creation(spec, value, bytes, cameMs, others, askers, late);
  }

  String uid() {
    return spec.uid();
  }

  void answer(Answer answer) {
    askers.forEach(asker -> asker.accept(answer));
  }

  void answerAll(Answer answer) {
    answer(answer);
    late.forEach(asker -> asker.accept(answer));
  }

  /** Do the write's conditions speak for those who ask before it goes out? */
  boolean isGuarded() {
    return spec.dependencies().isEmpty() || !guards.isEmpty();
  }
}
