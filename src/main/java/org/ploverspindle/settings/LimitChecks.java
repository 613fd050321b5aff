package org.ploverspindle.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Finds limits that are valid but too small for the size of the deployment. The service starts with
 * such limits and stays within them; a warning tells the operator the effect that users will
 * notice.
 */
public final class LimitChecks {
  /**
   * Requests per second to the state service that a leader needs at least: lease renewals and
   * reads, and as many writes as these two together.
   */
  private static final double MIN_LEADER_RPS = 8;

  /** Requests per second to the state service of a follower that receives no requests. */
  private static final double IDLE_FOLLOWER_RPS = 1.5;

  private static final double MIN_WRITE_RPS = 4;
  private static final int MIN_VALUE_BYTES = 1_500;

  /** A smaller rate counts as this one when a warning states a wait, so that it stays finite. */
  private static final double MIN_RATE_FOR_WAIT = 0.01;

  /**
   * Part of {@code cancel_s} that is reserved for late timers, commands in progress and clock
   * drift; the same value as in model.SafetyTiming.
   */
  private static final double CANCEL_MARGIN_S = 2.5;

  private LimitChecks() {}

  /**
   * A warning about one limit.
   *
   * @param field the setting's name with those of the tables around it
   * @param consequence why the value is too small, and the effect
   */
  public record Warning(String field, String consequence) {
    @Override
    public String toString() {
      return field + ": " + consequence;
    }
  }

  /** One warning for each limit that is too small; empty if there is none. */
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
        "%.1f requests per second are fewer than the %.1f that a deployment of %d controllers needs"
            + " without any load: responses will be late, and leadership may pass to another"
            + " controller",
        rps,
        needed,
        settings.controllerCount());
  }

  private static Optional<Warning> writesWarning(Settings settings) {
    double writeRps = settings.effectiveStateLimits().changesPerS();
    return warningIf(
        writeRps < MIN_WRITE_RPS,
        stateField("write_rps", settings.stateLimits().changesPerS(), writeRps),
        "%.1f changes per second are fewer than the recommended %.1f: each start of a task"
            + " waits up to %.1f s until its record is written",
        writeRps,
        MIN_WRITE_RPS,
        2 / Math.max(MIN_RATE_FOR_WAIT, writeRps));
  }

  private static Optional<Warning> valueWarning(Settings settings) {
    Settings.StateLimits limits = settings.effectiveStateLimits();
    return warningIf(
        limits.maxValueBytes() < MIN_VALUE_BYTES,
        stateField("value_kb", settings.stateLimits().maxValueKib(), limits.maxValueKib()),
        "a maximum value size of %d bytes is below the recommended %d: jobs whose description"
            + " does not fit are refused with status 422, and tasks may not start",
        limits.maxValueBytes(),
        MIN_VALUE_BYTES);
  }

  /**
   * Warns if a leader that can't reach the state service may respond to heartbeats for less than
   * one worker lease. The exact time, which also allows for clock drift, is that of
   * model.SafetyTiming.
   */
  private static Optional<Warning> graceWarning(Settings settings) {
    Settings.WorkerLimits workers = settings.workers();
    double graceS = workers.cancelS() - CANCEL_MARGIN_S - workers.leaseS();
    return warningIf(
        graceS < workers.leaseS(),
        "params.workers.cancel_s",
        "a leader can respond to heartbeats for only about %.1f s without the state service,"
            + " and %.1f s (lease_s) are recommended: a longer outage of it ends the running tasks",
        Math.max(0, graceS),
        workers.leaseS());
  }

  private static Optional<Warning> warningIf(
      boolean tooSmall, String field, String consequence, Object... values) {
    return tooSmall
        ? Optional.of(new Warning(field, String.format(Locale.ROOT, consequence, values)))
        : Optional.empty();
  }

  /**
   * The full name of the field that holds the effective limit.
   *
   * @param current the limit of params.state
   * @param effective the smaller of the limits of params.state and params.state.next
   */
  private static String stateField(String name, double current, double effective) {
    return (effective < current ? "params.state.next." : "params.state.") + name;
  }
}
