package org.ploverspindle.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Limits that are valid but too small for the deployment's size. The service starts with them and
 * keeps the rules; the operator is warned of what users will notice.
 */
public final class LimitChecks {
  /** Least requests a second of a leader: its renewals, its reads, and as many writes. */
  private static final double MIN_LEADER_RPS = 8;

  /** Requests a second of a follower that nobody asks anything. */
  private static final double IDLE_FOLLOWER_RPS = 1.5;

  private static final double MIN_WRITE_RPS = 4;
  private static final int MIN_VALUE_BYTES = 1_500;

  /** Lower rates are reported as this one. */
  private static final double MIN_RATE_FOR_WAIT = 0.01;

  /** Part of the time to cancel that commands and clock drift take; see model.SafetyTiming. */
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
  public static List<Warning> warnings(Settings settings) {
    List<Warning> warnings = new ArrayList<>();
    requestsWarning(settings).ifPresent(warnings::add);
    writesWarning(settings).ifPresent(warnings::add);
    valueWarning(settings).ifPresent(warnings::add);
    graceWarning(settings).ifPresent(warnings::add);
    return warnings;
  }

  private static Optional<Warning> requestsWarning(Settings settings) {
    double rps = settings.effectiveStateLimits().requestsPerS();
    double needed = MIN_LEADER_RPS + IDLE_FOLLOWER_RPS * (settings.controllerCount() - 1);
    return warningIf(
        rps < needed,
        stateField("rps", settings.stateLimits().requestsPerS(), rps),
        "%.1f requests a second are fewer than the %.1f that %d controllers need with"
            + " nothing to do: answers will be late and the lead may change hands",
        rps,
        needed,
        settings.controllerCount());
  }

  private static Optional<Warning> writesWarning(Settings settings) {
    double writeRps = settings.effectiveStateLimits().changesPerS();
    return warningIf(
        writeRps < MIN_WRITE_RPS,
        stateField("write_rps", settings.stateLimits().changesPerS(), writeRps),
        "%.1f changes a second: each start waits for its record for up to %.1f s",
        writeRps,
        2 / Math.max(MIN_RATE_FOR_WAIT, writeRps));
  }

  private static Optional<Warning> valueWarning(Settings settings) {
    Settings.StateLimits limits = settings.effectiveStateLimits();
    return warningIf(
        limits.maxValueBytes() < MIN_VALUE_BYTES,
        stateField("value_kb", settings.stateLimits().maxValueKib(), limits.maxValueKib()),
        "%d bytes hold no record for certain: jobs with longer descriptions are refused"
            + " with 422, and tasks may not start",
        limits.maxValueBytes());
  }

  /**
   * For how long a leader without the state service may respond to heartbeats; see
   * model.SafetyTiming.
   */
  private static Optional<Warning> graceWarning(Settings settings) {
    Settings.WorkerLimits workers = settings.workers();
    double graceS = workers.cancelS() - CANCEL_MARGIN_S - workers.leaseS();
    return warningIf(
        graceS < workers.leaseS(),
        "params.workers.cancel_s",
        "only %.1f s above the lease: a state service that is away for longer costs the"
            + " running tasks",
        Math.max(0, graceS));
  }

  private static Optional<Warning> warningIf(
      boolean tooSmall, String field, String consequence, Object... values) {
    return tooSmall
        ? Optional.of(new Warning(field, String.format(Locale.ROOT, consequence, values)))
        : Optional.empty();
  }

  /** The field that has the smaller one of two limits. */
  private static String stateField(String name, double current, double effective) {
    return (effective < current ? "params.state.next." : "params.state.") + name;
  }
}
