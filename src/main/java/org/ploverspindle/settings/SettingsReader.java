package org.ploverspindle.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Reads the sections of the settings file and holds the minimum values of their fields. All
 * sections are read even if one is invalid, so that every problem is reported.
 */
final class SettingsReader {
  private static final double MIN_HEARTBEAT_INTERVAL_S = 0.01;
  private static final double MIN_WORKER_LEASE_S = 0.1;
  private static final double MIN_CLOUD_RPS = 0.1;
  private static final double MIN_CORES = 0.001;
  private static final int MIN_CONNECTIONS = 16;
  private static final int MIN_CHANGES_PER_TRANSACTION = 4;

  private SettingsReader() {}

  /**
   * Reads all settings. A field that is missing or invalid is reported as a problem and replaced by
   * a placeholder; the result must not be used if any problem was reported.
   */
  static Settings read(TomlSection root) {
    TomlSection params = root.requiredTable("params");
    TomlSection workers = params.requiredTable("workers");
    TomlSection state = params.requiredTable("state");
    TomlSection cloud = params.requiredTable("cloud");
    TomlSection quota = params.requiredTable("quota");
    TomlSection outside = root.requiredTable("outside");
    return new Settings(
        root.requiredString("member"),
        root.requiredString("location"),
        root.requiredAddress("front"),
        root.requiredAddress("back"),
        otherControllers(root),
        outside.requiredAddress("cloud"),
        outside.requiredAddress("state"),
        zones(params),
        params.requiredNumber("skew_ms", 0),
        teams(params),
        objectives(params),
        workerLimits(workers),
        stateLimits(state),
        cloudLimits(cloud),
        quota(quota));
  }

  private static List<Settings.OtherController> otherControllers(TomlSection root) {
    List<Settings.OtherController> otherControllers = new ArrayList<>();
    for (TomlSection controller : root.optionalTableList("members")) {
      otherControllers.add(
          new Settings.OtherController(
              controller.requiredString("member"),
              controller.requiredString("location"),
              controller.requiredAddress("address")));
    }
    return otherControllers;
  }

  private static List<String> zones(TomlSection params) {
    return params.requiredStrings(
        "zones",
        "must be a list of at least one zone name",
        "every zone name must be a string that is not blank");
  }

  private static List<Settings.Team> teams(TomlSection params) {
    List<Settings.Team> teams = new ArrayList<>();
    for (TomlSection team : params.optionalTableList("teams")) {
      teams.add(
          new Settings.Team(
              team.requiredString("name"),
              team.requiredNumber("cpus", 0),
              team.requiredNumber("cpus_max", 0),
              team.requiredNumber("gpus", 0),
              team.requiredNumber("gpus_max", 0)));
    }
    if (teams.isEmpty()) {
      params.report("teams", "at least one [[params.teams]] table is required");
    }
    return teams;
  }

  /**
   * Reads the service level objectives. Only the kind is required. The other fields are not
   * checked, since each kind uses only some of them and no objective is guaranteed.
   */
  private static List<Settings.Objective> objectives(TomlSection params) {
    List<Settings.Objective> objectives = new ArrayList<>();
    for (TomlSection objective : params.optionalTableList("objectives")) {
      objectives.add(
          new Settings.Objective(
              objective.requiredString("kind"),
              objective.uncheckedString("class", ""),
              objective.uncheckedNumber("share", 0),
              objective.uncheckedNumber("times", 1),
              objective.uncheckedNumber("within_s", 0)));
    }
    return objectives;
  }

  private static Settings.WorkerLimits workerLimits(TomlSection workers) {
    return new Settings.WorkerLimits(
        workers.requiredNumber("report_s", MIN_HEARTBEAT_INTERVAL_S),
        workers.requiredNumber("lease_s", MIN_WORKER_LEASE_S),
        workers.requiredNumber("cancel_s", MIN_WORKER_LEASE_S));
  }

  private static Settings.StateLimits stateLimits(TomlSection state) {
    Settings.StateLimits current =
        new Settings.StateLimits(
            state.requiredNumber("rps", 1),
            state.requiredNumber("write_rps", 1),
            state.requiredNumber("value_kb", 1),
            (int) state.requiredNumber("txn_ops", MIN_CHANGES_PER_TRANSACTION));
    return state
        .optionalTable("next")
        .map(next -> withNext(current, nextStateLimits(next, current)))
        .orElse(current);
  }

  /** Reads the next limits; a limit that the section doesn't give equals the current one. */
  private static Settings.StateLimits nextStateLimits(
      TomlSection next, Settings.StateLimits current) {
    return new Settings.StateLimits(
        next.optionalNumber("rps", 1, current.requestsPerS()),
        next.optionalNumber("write_rps", 1, current.changesPerS()),
        next.optionalNumber("value_kb", 1, current.maxValueKib()),
        (int)
            next.optionalNumber(
                "txn_ops", MIN_CHANGES_PER_TRANSACTION, current.maxChangesPerTransaction()));
  }

  private static Settings.StateLimits withNext(
      Settings.StateLimits current, Settings.StateLimits next) {
    return new Settings.StateLimits(
        current.requestsPerS(),
        current.changesPerS(),
        current.maxValueKib(),
        current.maxChangesPerTransaction(),
        Optional.of(next));
  }

  private static Settings.CloudLimits cloudLimits(TomlSection cloud) {
    return new Settings.CloudLimits(
        cloud.requiredNumber("rps", MIN_CLOUD_RPS), cloud.requiredNumber("list_lag_s", 0));
  }

  private static Settings.Quota quota(TomlSection quota) {
    return new Settings.Quota(
        quota.requiredNumber("cores", MIN_CORES),
        quota.requiredNumber("ram_mb", 1),
        (int) quota.requiredNumber("max_connections", MIN_CONNECTIONS));
  }
}
