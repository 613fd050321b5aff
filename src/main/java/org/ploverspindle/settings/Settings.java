package org.ploverspindle.settings;

import java.util.List;
import java.util.Optional;

/**
 * The platform's settings of this controller, checked when they are read; see {@link SettingsFile}.
 *
 * @param member this controller's name
 * @param location where it runs
 * @param userAddress address where users and workers connect
 * @param peerAddress address where the other controllers connect
 * @param members the other controllers
 * @param cloud address of the cloud's API
 * @param state address of the state service
 * @param maxClockSkewMs upper bound of the difference between the wall clocks of two machines
 */
public record Settings(
    String member,
    String location,
    Address userAddress,
    Address peerAddress,
    List<Member> members,
    Address cloud,
    Address state,
    List<String> zones,
    double maxClockSkewMs,
    List<Team> teams,
    List<Objective> objectives,
    WorkerLimits workers,
    StateLimits stateLimits,
    CloudLimits cloudLimits,
    Quota quota) {

  private static final int BYTES_PER_KIB = 1024;

  /** Another controller. */
  public record Member(String name, String location, Address address) {}

  /**
   * A team's guarantee and limit; an amount of 0 means none.
   *
   * @param guaranteedCores guaranteed cores
   * @param maxCores limit of cores
   * @param guaranteedAccelerators guaranteed accelerators
   * @param maxAccelerators limit of accelerators
   */
  public record Team(
      String name,
      double guaranteedCores,
      double maxCores,
      double guaranteedAccelerators,
      double maxAccelerators) {}

  /**
   * A service level objective. It affects the order of placement and is not guaranteed.
   *
   * @param kind {@code deadline}, {@code wait} or {@code finished}; others are ignored
   * @param jobClass the job class that it is for
   * @param share share of the class's jobs that is to meet it
   * @param deadlineMultiple of a {@code deadline}: multiple of a job's own deadline
   * @param withinS of the others: seconds within which a job is to start or be done
   */
  public record Objective(
      String kind, String jobClass, double share, double deadlineMultiple, double withinS) {}

  /**
   * Limits of the workers, in seconds.
   *
   * @param heartbeatIntervalS interval of a worker's heartbeats
   * @param leaseS after how long without a response a worker stops all its tasks
   * @param cancelS within which time a cancelled job must be gone
   */
  public record WorkerLimits(double heartbeatIntervalS, double leaseS, double cancelS) {}

  /**
   * Limits of the state service.
   *
   * @param requestsPerS requests a second
   * @param changesPerS changes a second
   * @param maxValueKib size of a value in KiB
   * @param maxChangesPerTransaction changes of a transaction
   * @param next lower limits that the service will have from some unannounced time on; a limit that
   *     is not named there stays as it is
   */
  public record StateLimits(
      double requestsPerS,
      double changesPerS,
      double maxValueKib,
      int maxChangesPerTransaction,
      Optional<StateLimits> next) {
    public StateLimits(
        double requestsPerS, double changesPerS, double maxValueKib, int maxChangesPerTransaction) {
      this(requestsPerS, changesPerS, maxValueKib, maxChangesPerTransaction, Optional.empty());
    }

    /** The largest value that the service takes. */
    public int maxValueBytes() {
      return (int) (maxValueKib * BYTES_PER_KIB);
    }

    /** Limits that hold now as well as later: the smaller of both, one by one. */
    public StateLimits lowest() {
      return next.map(
              later ->
                  new StateLimits(
                      Math.min(requestsPerS, later.requestsPerS),
                      Math.min(changesPerS, later.changesPerS),
                      Math.min(maxValueKib, later.maxValueKib),
                      Math.min(maxChangesPerTransaction, later.maxChangesPerTransaction)))
          .orElse(this);
    }
  }

  /**
   * Limits of the cloud.
   *
   * @param requestsPerS requests a second
   * @param maxListLagS by how many seconds its list of machines may be out of date
   */
  public record CloudLimits(double requestsPerS, double maxListLagS) {}

  /** What one controller may use of its own machine. */
  public record Quota(double cores, double ramMb, int maxConnections) {}

  /**
   * The limits that every write and every rate keeps to from the start, as the time from which the
   * lower ones hold is not announced.
   */
  public StateLimits effectiveStateLimits() {
    return stateLimits.lowest();
  }

  /** The team of that name, if it is known. */
  public Optional<Team> team(String name) {
    return teams.stream().filter(team -> team.name().equals(name)).findFirst();
  }

  /** How many controllers there are, this one included. */
  public int controllerCount() {
    return members.size() + 1;
  }
}
