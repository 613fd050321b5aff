package org.ploverspindle.settings;

import java.util.List;
import java.util.Optional;

/**
 * The platform's settings of this controller, checked when they are read; see {@link SettingsFile}.
 *
 * @param front where users and workers connect
 * @param back where the other controllers connect
 * @param members the other controllers
 * @param skewMs by how much times of day may differ between machines
 */
public record Settings(
    String member,
    String location,
    Address front,
    Address back,
    List<Member> members,
    Address cloud,
    Address state,
    List<String> zones,
    double skewMs,
    List<Team> teams,
    List<Objective> objectives,
    WorkerLimits workers,
    StateLimits stateLimits,
    CloudLimits cloudLimits,
    Quota quota) {

  private static final int BYTES_PER_KB = 1024;

  /** Another controller. */
  public record Member(String name, String location, Address address) {}

  /** A team's guarantee and limit; an amount of 0 means none. */
  public record Team(
      String name, double cores, double coresMax, double accelerators, double acceleratorsMax) {}

  /** A service level objective. It affects the order of work and promises nothing. */
  public record Objective(
      String kind, String jobClass, double share, double times, double withinS) {}

  /**
   * @param reportS how often a worker reports
   * @param leaseS after how long without a response a worker stops all its tasks
   * @param cancelS within which time a cancelled job must be gone
   */
  public record WorkerLimits(double reportS, double leaseS, double cancelS) {}

  /**
   * Limits of the state service.
   *
   * @param next what the service will allow from some moment on that nobody is told; a limit that
   *     it does not name stays as it is
   */
  public record StateLimits(
      double rps, double writeRps, double valueKb, int txnOps, Optional<StateLimits> next) {
    public StateLimits(double rps, double writeRps, double valueKb, int txnOps) {
      this(rps, writeRps, valueKb, txnOps, Optional.empty());
    }

    /** The largest value that the service takes. */
    public int valueBytes() {
      return (int) (valueKb * BYTES_PER_KB);
    }

    /** What holds before and after the moment: the smaller of both, limit by limit. */
    public StateLimits lowest() {
      return next.map(
              n ->
                  new StateLimits(
                      Math.min(rps, n.rps),
                      Math.min(writeRps, n.writeRps),
                      Math.min(valueKb, n.valueKb),
                      Math.min(txnOps, n.txnOps)))
          .orElse(this);
    }
  }

  /**
   * Limits of the cloud.
   *
   * @param listLagS by how much its list of machines may be out of date
   */
  public record CloudLimits(double rps, double listLagS) {}

  /** What one controller may use of its own machine. */
  public record Quota(double cores, double ramMb, int maxConnections) {}

  /**
   * What every write and every rate keeps to from the start on, as the moment when the lower limits
   * come is not told.
   */
  public StateLimits writeLimits() {
    return stateLimits.lowest();
  }

  /** The team of that name, if it is known. */
  public Optional<Team> team(String name) {
    return teams.stream().filter(t -> t.name().equals(name)).findFirst();
  }

  /** How many controllers there are, this one included. */
  public int nodes() {
    return members.size() + 1;
  }
}
