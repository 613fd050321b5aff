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

  public record StateLimits(double rps, double writeRps, double valueKb, int txnOps) {
    public int valueBytes() {
      return (int) (valueKb * 1024);
    }
  }

  public record CloudLimits(double rps, double listLagS) {}

  public record Quota(double cores, double ramMb, int maxConnections) {}

  public Optional<Team> team(String name) {
    return teams.stream().filter(t -> t.name().equals(name)).findFirst();
  }

  public int nodes() {
    return members.size() + 1;
  }
}
