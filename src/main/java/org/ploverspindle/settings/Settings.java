package org.ploverspindle.settings;

import java.util.List;
import java.util.Optional;

/** What the platform hands over, checked once; see {@link SettingsFile}. */
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

  /** Another controller. */
  public record Member(String name, String location, Address address) {}

  /** A team's guarantee and limit; an amount of 0 means none. */
  public record Team(
      String name, double cores, double coresMax, double accelerators, double acceleratorsMax) {}

  /** An aim, for display and for the order of work. */
  public record Objective(
      String kind, String jobClass, double share, double times, double withinS) {}

  public record WorkerLimits(double reportS, double leaseS, double cancelS) {}

  /**
   * @param next what the service will allow from some moment on that nobody is told; a limit that
   *     it does not name stays as it is
   */
  public record StateLimits(
      double rps, double writeRps, double valueKb, int txnOps, Optional<StateLimits> next) {
    public StateLimits(double rps, double writeRps, double valueKb, int txnOps) {
      this(rps, writeRps, valueKb, txnOps, Optional.empty());
    }

    public int valueBytes() {
      return (int) (valueKb * 1024);
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

  public record CloudLimits(double rps, double listLagS) {}

  public record Quota(double cores, double ramMb, int maxConnections) {}

  /**
   * What every write and every rate keeps to from the start on, as the moment when the lower limits
   * come is not told.
   */
  public StateLimits writeLimits() {
    return stateLimits.lowest();
  }

  public Optional<Team> team(String name) {
    return teams.stream().filter(t -> t.name().equals(name)).findFirst();
  }

  public int nodes() {
    return members.size() + 1;
  }
}
