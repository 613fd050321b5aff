package org.ploverspindle.cluster;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.EndedJobs;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Replica;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The jobs of a term that may run and are not terminal, and the cancelled jobs whose tasks are not
 * all proven gone yet.
 */
public final class JobTable {
  private static final Logger LOG = LoggerFactory.getLogger(JobTable.class);

  private final EndedJobs endedJobs;
  private final AcceptedJobIndex acceptedJobs;
  private final Catalogue catalogue;
  private final TeamUsage teams;
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Collection<Job> jobsView = Collections.unmodifiableCollection(jobs.values());

  public JobTable(
      Replica replica, AcceptedJobIndex acceptedJobs, Catalogue catalogue, TeamUsage teams) {
    this.endedJobs = replica.endedJobs();
    this.acceptedJobs = acceptedJobs;
    this.catalogue = catalogue;
    this.teams = teams;
  }

  /**
   * Adds all accepted jobs that are not completed and that may run. Cancelled jobs are included as
   * long as the recorded progress mentions them, because their tasks may still be on machines.
   *
   * @param mayRun whether the job with the given UID may run; false for a job that is blocked on
   *     dependencies, which counts in no limit or guarantee and is not placed
   * @return the added jobs
   */
  public List<Job> loadAll(Predicate<String> mayRun) {
    List<Job> loaded = new ArrayList<>();
    for (String uid : acceptedJobs.uids()) {
      if (mayRun.test(uid)) {
        acceptedJobs.get(uid).flatMap(this::add).ifPresent(loaded::add);
      }
    }
    return loaded;
  }

  /**
   * Adds an accepted job.
   *
   * @return the added job; empty if the job is in the table already or is completed, if its record
   *     is unreadable, or if the settings don't name its team
   */
  public Optional<Job> add(AcceptedJobIndex.AcceptedJob accepted) {
    String uid = accepted.uid();
    if (jobs.containsKey(uid) || endedJobs.isDone(uid)) {
      return Optional.empty();
    }
    boolean cancelled = endedJobs.isAborted(uid);
    Optional<Job> job = decode(accepted);
    job.ifPresent(added -> jobs.put(uid, added));
    if (cancelled) {
      job.ifPresent(Job::markCancelled);
    }
    return job;
  }

  /**
   * Returns a completed job, which is not added to the table.
   *
   * @return the job; empty if it is not completed, if its record is unreadable, or if the settings
   *     don't name its team
   */
  public Optional<Job> completed(String uid) {
    if (!endedJobs.isDone(uid)) {
      return Optional.empty();
    }
    Optional<Job> job = acceptedJobs.get(uid).flatMap(this::decode);
    job.ifPresent(Job::markFinished);
    return job;
  }

  private Optional<Job> decode(AcceptedJobIndex.AcceptedJob accepted) {
    String uid = accepted.uid();
    Optional<JobRecord> record = JobRecord.decode(uid, accepted.value());
    if (record.isEmpty()) {
      LOG.error("unreadable job record, record kept as it is: job={} key={}", uid, accepted.key());
    }
    return record.flatMap(this::newJob);
  }

  private Optional<Job> newJob(JobRecord record) {
    JobSpec spec = record.spec();
    Optional<Integer> team = teams.indexOf(spec.team());
    if (team.isEmpty()) {
      LOG.error(
          "job not run, the settings don't name its team: job={} team={}", spec.uid(), spec.team());
      return Optional.empty();
    }
    return Optional.of(
        new Job(
            spec,
            record.acceptedWallMs(),
            record.shardSize(),
            team.get(),
            compatibleTypes(spec),
            spec.requiredZone().map(catalogue::zoneIndexOrAdd).orElse(Job.ANY_ZONE),
            catalogue.zoneCount()));
  }

  /** The indexes of the machine types that the job allows and that one of its tasks fits on. */
  private BitSet compatibleTypes(JobSpec spec) {
    BitSet compatible = new BitSet();
    for (int index = 0; index < catalogue.types().size(); index++) {
      MachineType type = catalogue.type(index);
      boolean isAllowed =
          spec.allowedTypes().map(names -> names.contains(type.name())).orElse(true);
      if (isAllowed && spec.perTask().fitsIn(type.size())) {
        compatible.set(index);
      }
    }
    return compatible;
  }

  public Optional<Job> get(String uid) {
    return Optional.ofNullable(jobs.get(uid));
  }

  /** All jobs in the order in which they were added: a live, unmodifiable view. */
  public Collection<Job> all() {
    return jobsView;
  }

  public void remove(Job job) {
    jobs.remove(job.uid());
  }
}
