package org.ploverspindle.sim;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.ploverspindle.sim.InvariantChecker.Rule;

/** Checks what users are answered about uids without an acceptable submission. */
final class UnknownJobAnswers {
  private record Refusal(int status, String reason) {}

  private static final Refusal NOT_FOUND = new Refusal(404, "never submitted");

  private final BiConsumer<Rule, String> report;
  private final Map<String, Refusal> refusals = new HashMap<>();

  UnknownJobAnswers(BiConsumer<Rule, String> report) {
    this.report = report;
  }

  /** Expects each submission under this uid to be refused with the status. */
  void expectRefusal(String uid, int status, String reason) {
    refusals.put(uid, new Refusal(status, reason));
  }

  void check(String uid, int status, boolean submission) {
    Refusal refusal = refusals.getOrDefault(uid, NOT_FOUND);
    String description = uid + " (" + refusal.reason + ") is answered " + status;
    if (status == 200 || status == 201) {
      report.accept(submission ? Rule.WRONGLY_ACCEPTED : Rule.INVENTED, description);
    } else if (!isRetryable(status) && status != (submission ? refusal.status : 404)) {
      report.accept(Rule.WRONG_STATUS, description);
    }
  }

  private static boolean isRetryable(int status) {
    return status == 429 || status == 503 || status == 504;
  }
}
