package org.ploverspindle.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Limits that are valid and too small for the deployment's size. The service starts with them and
 * keeps the rules; what its users will see is said beforehand.
 */
public final class LimitChecks {
  /** A leader's renewals, its own looks for news, and as many writes, at the least. */
  private static final double LEADER_RPS = 8;

  /** A follower looks for news this often when nobody asks it anything. */
  private static final double FOLLOWER_RPS = 1.5;

  private static final double LEAST_WRITE_RPS = 4;
  private static final int LEAST_VALUE_BYTES = 1_500;

  /** Below this a wait is not told any longer. */
  private static final double LEAST_RATE = 0.01;

  /** What remains of the time to cancel for orders and clock drift; see leadership.Timing. */
  private static final double CANCEL_MARGIN_S = 2.5;

  private LimitChecks() {}

  /** A field, and what follows from its value. */
  public record Warning(String field, String consequence) {
    @Override
    public String toString() {
      return field + ": " + consequence;
    }
  }

  /** All limits that are too small, with what follows from each. */
  public static List<Warning> warnings(Settings s) {
    List<Warning> warnings = new ArrayList<>();
    Settings.StateLimits state = s.writeLimits();
    double needed = LEADER_RPS + FOLLOWER_RPS * (s.nodes() - 1);
    if (state.rps() < needed) {
      warnings.add(
          new Warning(
              field("rps", s.stateLimits().rps(), state.rps()),
              text(
                  "%.1f requests a second are fewer than the %.1f that %d controllers need with"
                      + " nothing to do: answers will be late and the lead may change hands",
                  state.rps(), needed, s.nodes())));
    }
    if (state.writeRps() < LEAST_WRITE_RPS) {
      warnings.add(
          new Warning(
              field("write_rps", s.stateLimits().writeRps(), state.writeRps()),
              text(
                  "%.1f changes a second: each start waits for its record for up to %.1f s",
                  state.writeRps(), 2 / Math.max(LEAST_RATE, state.writeRps()))));
    }
    if (state.valueBytes() < LEAST_VALUE_BYTES) {
      warnings.add(
          new Warning(
              field("value_kb", s.stateLimits().valueKb(), state.valueKb()),
              text(
                  "%d bytes hold no record for certain: jobs with longer descriptions are refused"
                      + " with 422, and tasks may not start",
                  state.valueBytes())));
    }
    graceWarning(s).ifPresent(warnings::add);
    return warnings;
  }

  /** A leader that lacks the state service answers reports for this long; see leadership.Timing. */
  private static Optional<Warning> graceWarning(Settings s) {
    double answerS = s.workers().cancelS() - CANCEL_MARGIN_S - s.workers().leaseS();
    if (answerS >= s.workers().leaseS()) {
      return Optional.empty();
    }
    return Optional.of(
        new Warning(
            "params.workers.cancel_s",
            text(
                "only %.1f s above the lease: a state service that is away for longer costs the"
                    + " running tasks",
                Math.max(0, answerS))));
  }

  /** The place of the limit that is the smaller one. */
  private static String field(String name, double now, double lowest) {
    return (lowest < now ? "params.state.next." : "params.state.") + name;
  }

  private static String text(String format, Object... values) {
    return String.format(Locale.ROOT, format, values);
  }
}
