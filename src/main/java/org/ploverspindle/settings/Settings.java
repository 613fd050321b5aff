package org.ploverspindle.settings;

import java.util.List;
import java.util.Optional;

/**
 * The platform's settings of this controller. They are checked when {@link SettingsFile} reads
 * them.
 *
 * @param controllerName this controller's name
 * @param location where this controller runs
 * @param userAddress address that users and workers connect to
 * @param peerAddress address that the other controllers connect to
 * @param otherControllers the other controllers
 * @param cloud address of the cloud's API
 * @param state address of the state service
 * @param zones names of the zones that machines may be provisioned in
 * @param maxClockSkewMs upper bound of the difference between the wall clocks of two machines, in
 *     milliseconds
 */
public record Settings(
    String controllerName,
    String location,
    Address userAddress,
    Address peerAddress,
    List<OtherController> otherControllers,
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
  public record OtherController(String name, String location, Address address) {}

  /**
   * A team's guarantee and limit. A guarantee or limit of 0 means that there is none.
   *
   * @param guaranteedCores guaranteed number of processor cores
   * @param maxCores limit of the number of processor cores
   * @param guaranteedAccelerators guaranteed number of accelerators
   * @param maxAccelerators limit of the number of accelerators
   */
  public record Team(
      String name,
      double guaranteedCores,
      double maxCores,
      double guaranteedAccelerators,
      double maxAccelerators) {}

  /**
   * A service level objective. It affects the order of placement; meeting it is not guaranteed.
   *
   * @param kind {@code deadline}, {@code wait} or {@code finished}; other kinds are ignored
   * @param jobClass the job class that the objective applies to
   * @param share fraction of the class's jobs that should meet the objective
   * @param deadlineMultiple for the kind {@code deadline}: factor applied to a job's own deadline
   * @param withinS for the kinds {@code wait} and {@code finished}: seconds within which a job
   *     should start or be done
   */
  public record Objective(
      String kind, String jobClass, double share, double deadlineMultiple, double withinS) {}

  /**
   * Limits of the workers, in seconds.
   *
   * @param heartbeatIntervalS time between two heartbeats of a worker
   * @param leaseS duration of the worker lease: a worker that gets no response for this long stops
   *     all its tasks
   * @param cancelS time within which all tasks of a cancelled job must have stopped
   */
  public record WorkerLimits(double heartbeatIntervalS, double leaseS, double cancelS) {}

  /**
   * Limits of the state service.
   *
   * @param requestsPerS requests per second
   * @param changesPerS changes per second
   * @param maxValueKib maximum size of a value in KiB
   * @param maxChangesPerTransaction maximum number of changes in one transaction
   * @param next limits that the service will apply from a time that is not announced; a limit that
   *     the settings don't give there equals the current one
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

    /** The maximum size of a value in bytes. */
    public int maxValueBytes() {
      return (int) (maxValueKib * BYTES_PER_KIB);
    }

    /** Limits that hold both now and later: each is the smaller of the current and the next one. */
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
   * @param requestsPerS requests per second
   * @param maxListLagS maximum age in seconds of the state that the cloud's list of machines shows
   */
  public record CloudLimits(double requestsPerS, double maxListLagS) {}

  /**
   * The resources that one controller may use on its own machine.
   *
   * @param cores processor cores, possibly a fraction of one
   * @param ramMb memory in MB
   * @param maxConnections sockets that may be open at the same time
   */
  public record Quota(double cores, double ramMb, int maxConnections) {}

  /**
   * The limits that all requests to the state service stay within. They include the next limits
   * from the start, because the time from which those apply is not announced.
   */
  public StateLimits effectiveStateLimits() {
    return stateLimits.lowest();
  }

  /** The team with this name; empty if the settings have none. */
  public Optional<Team> team(String name) {
    return teams.stream().filter(team -> team.name().equals(name)).findFirst();
  }

  /** The number of controllers, including this one. */
  public int controllerCount() {
    return otherControllers.size() + 1;
  }
}
