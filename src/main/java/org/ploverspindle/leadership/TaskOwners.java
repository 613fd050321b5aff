package org.ploverspindle.leadership;

import java.util.Optional;
import org.ploverspindle.jobs.TeamUsage;
import org.ploverspindle.state.SpecIndex;
import org.ploverspindle.state.SpecRecord;
import org.ploverspindle.workers.ReportHandler;

/** Whose an unrecorded task on a machine is: it counts for its team as long as it may run. */
final class TaskOwners {
  private final SpecIndex specs;
  private final TeamUsage teams;

  TaskOwners(SpecIndex specs, TeamUsage teams) {
    this.specs = specs;
    this.teams = teams;
  }

  /** The owner of the job's tasks; empty if the job or its team is not known. */
  Optional<ReportHandler.Owner> of(String uid) {
    return specs.get(uid).flatMap(spec -> SpecRecord.decode(uid, spec.value())).flatMap(this::of);
  }

  private Optional<ReportHandler.Owner> of(SpecRecord record) {
    return teams
        .index(record.spec().team())
        .map(team -> new ReportHandler.Owner(team, record.spec().perTask()));
  }
}
