package org.ploverspindle.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The sections of the settings file and the least values of their fields. Reads all of them
 * whatever is wrong in one, so that every problem is reported.
 */
final class SettingsReader {
  private static final double LEAST_REPORT_S = 0.01;
  private static final double LEAST_LEASE_S = 0.1;
  private static final double LEAST_CLOUD_RPS = 0.1;
  private static final double LEAST_CORES = 0.001;
  private static final int LEAST_CONNECTIONS = 16;
  private static final int LEAST_TXN_OPS = 4;

  private SettingsReader() {}

  /**
   * The settings. Where a field has a problem, which is reported, they hold a replacement and are
   * of no use.
   */
  static Settings read(TomlSection root) {
    TomlSection params = root.table("params");
    TomlSection workers = params.table("workers");
    TomlSection state = params.table("state");
    TomlSection cloud = params.table("cloud");
    TomlSection quota = params.table("quota");
    TomlSection outside = root.table("outside");
    return new Settings(
        root.text("member"),
        root.text("location"),
        root.address("front"),
        root.address("back"),
        members(root),
        outside.address("cloud"),
        outside.address("state"),
        zones(params),
        params.amount("skew_ms", 0),
        teams(params),
        objectives(params),
        workerLimits(workers),
        stateLimits(state),
        cloudLimits(cloud),
        quota(quota));
  }

  private static List<Settings.Member> members(TomlSection root) {
    List<Settings.Member> members = new ArrayList<>();
    for (TomlSection member : root.tables("members")) {
      members.add(
          new Settings.Member(
              member.text("member"), member.text("location"), member.address("address")));
    }
    return members;
  }

  private static List<String> zones(TomlSection params) {
    return params.texts(
        "zones", "a list of at least one zone is needed", "every zone must be a name");
  }

  private static List<Settings.Team> teams(TomlSection params) {
    List<Settings.Team> teams = new ArrayList<>();
    for (TomlSection team : params.tables("teams")) {
      teams.add(
          new Settings.Team(
              team.text("name"),
              team.amount("cpus", 0),
              team.amount("cpus_max", 0),
              team.amount("gpus", 0),
              team.amount("gpus_max", 0)));
    }
    if (teams.isEmpty()) {
      params.report("teams", "at least one team is needed");
    }
    return teams;
  }

  /** Objectives are hints: only the kind is required, and the fields of other kinds are absent. */
  private static List<Settings.Objective> objectives(TomlSection params) {
    List<Settings.Objective> objectives = new ArrayList<>();
    for (TomlSection objective : params.tables("objectives")) {
      objectives.add(
          new Settings.Objective(
              objective.text("kind"),
              objective.textOr("class", ""),
              objective.numberOr("share", 0),
              objective.numberOr("times", 1),
              objective.numberOr("within_s", 0)));
    }
    return objectives;
  }

  private static Settings.WorkerLimits workerLimits(TomlSection workers) {
    return new Settings.WorkerLimits(
        workers.amount("report_s", LEAST_REPORT_S),
        workers.amount("lease_s", LEAST_LEASE_S),
        workers.amount("cancel_s", LEAST_LEASE_S));
  }

  private static Settings.StateLimits stateLimits(TomlSection state) {
    Settings.StateLimits now =
        new Settings.StateLimits(
            state.amount("rps", 1),
            state.amount("write_rps", 1),
            state.amount("value_kb", 1),
            (int) state.amount("txn_ops", LEAST_TXN_OPS));
    return state
        .optionalTable("next")
        .map(next -> withNext(now, nextStateLimits(next, now)))
        .orElse(now);
  }

  /** A limit that the section does not name stays as it is now. */
  private static Settings.StateLimits nextStateLimits(TomlSection next, Settings.StateLimits now) {
    return new Settings.StateLimits(
        next.amountOr("rps", 1, now.requestsPerS()),
        next.amountOr("write_rps", 1, now.changesPerS()),
        next.amountOr("value_kb", 1, now.maxValueKib()),
        (int) next.amountOr("txn_ops", LEAST_TXN_OPS, now.maxChangesPerTransaction()));
  }

  private static Settings.StateLimits withNext(
      Settings.StateLimits now, Settings.StateLimits next) {
    return new Settings.StateLimits(
        now.requestsPerS(),
        now.changesPerS(),
        now.maxValueKib(),
        now.maxChangesPerTransaction(),
        Optional.of(next));
  }

  private static Settings.CloudLimits cloudLimits(TomlSection cloud) {
    return new Settings.CloudLimits(
        cloud.amount("rps", LEAST_CLOUD_RPS), cloud.amount("list_lag_s", 0));
  }

  private static Settings.Quota quota(TomlSection quota) {
    return new Settings.Quota(
        quota.amount("cores", LEAST_CORES),
        quota.amount("ram_mb", 1),
        (int) quota.amount("max_connections", LEAST_CONNECTIONS));
  }
}
