package org.ploverspindle.cluster;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.JobSpec;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.Replica;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The jobs that may run and are not over, and cancelled ones until their tasks are gone. */
public final class JobTable {
  private static final Logger LOG = LoggerFactory.getLogger(JobTable.class);

  private final Replica replica;
  private final AcceptedJobIndex acceptedJobs;
  private final Catalogue catalogue;
  private final TeamUsage teams;
  private final Map<String, Job> jobs = new LinkedHashMap<>();

  public JobTable(
      Replica replica, AcceptedJobIndex acceptedJobs, Catalogue catalogue, TeamUsage teams) {
    this.replica = replica;
    this.acceptedJobs = acceptedJobs;
    this.catalogue = catalogue;
    this.teams = teams;
  }

  /**
   * Every job that is not done and that belongs here. Cancelled ones are among them as their tasks
   * may still be there.
   *
   * @param belongs false for jobs that await others: until they are ready they hold nothing of
   *     limits, guarantees and room, and are not looked at
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

  /** Adds the job of a record, if it is readable, not done, and not known yet. */
  public Optional<Job> add(AcceptedJobIndex.AcceptedJob accepted) {
    String uid = accepted.uid();
    if (jobs.containsKey(uid) || replica.get(Keys.completion(uid)).isPresent()) {
      return Optional.empty();
    }
    boolean cancelled = replica.get(Keys.cancellation(uid)).isPresent();
    Optional<JobRecord> record = JobRecord.decode(uid, accepted.value());
    if (record.isEmpty()) {
      LOG.error("what {} says of {} can't be read and is left as it is", accepted.key(), uid);
      return Optional.empty();
    }
    JobSpec spec = record.get().spec();
    Optional<Integer> team = teams.index(spec.team());
    if (team.isEmpty()) {
      LOG.error("job {} belongs to team {}, which the settings no longer name", uid, spec.team());
      return Optional.empty();
    }
    Job job =
        new Job(
            spec,
            record.get().acceptedWallMs(),
            record.get().shardSize(),
            team.get(),
            typesThatFit(spec),
            spec.zone().map(catalogue::zone).orElse(Job.ANY_ZONE),
            catalogue.zoneCount());
    if (cancelled) {
      job.cancel();
    }
    jobs.put(uid, job);
    return Optional.of(job);
  }

  /** Machine types that the job allows and that one of its tasks fits on, by index. */
  private BitSet typesThatFit(JobSpec spec) {
    BitSet fitting = new BitSet();
    for (int i = 0; i < catalogue.types().size(); i++) {
      MachineType type = catalogue.type(i);
      if (spec.types().map(t -> t.contains(type.name())).orElse(true)
          && spec.perTask().fitsIn(type.size())) {
        fitting.set(i);
      }
    }
    return fitting;
  }

  public Optional<Job> get(String uid) {
    return Optional.ofNullable(jobs.get(uid));
  }

  public Collection<Job> all() {
    return jobs.values();
  }

  public void remove(Job job) {
    jobs.remove(job.uid());
  }
}
