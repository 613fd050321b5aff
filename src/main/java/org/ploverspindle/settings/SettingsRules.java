package org.ploverspindle.settings;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Checks rules that relate several fields of the settings, each of which is valid on its own. */
final class SettingsRules {
  private SettingsRules() {}

  /** Reports every rule that the settings violate. */
  static void check(Settings settings, SettingsProblems problems) {
    checkOtherControllers(settings, problems);
    checkTeams(settings.teams(), problems);
    if (settings.workers().leaseS() >= settings.workers().cancelS()) {
      problems.report(
          "params.workers.cancel_s",
          "must be greater than lease_s, and is "
              + settings.workers().cancelS()
              + " with lease_s = "
              + settings.workers().leaseS()
              + ": a machine without a connection stops its tasks only when its worker lease"
              + " expires");
    }
  }

  private static void checkOtherControllers(Settings settings, SettingsProblems problems) {
    Set<String> names = new HashSet<>(Set.of(settings.controllerName()));
    for (Settings.OtherController controller : settings.otherControllers()) {
      if (!names.add(controller.name())) {
        problems.report(
            "members.member",
            "the name \"" + controller.name() + "\" is used more than once; it must be unique");
      }
    }
  }

  private static void checkTeams(List<Settings.Team> teams, SettingsProblems problems) {
    Set<String> names = new HashSet<>();
    for (Settings.Team team : teams) {
      if (!names.add(team.name())) {
        problems.report(
            "params.teams.name",
            "the name \"" + team.name() + "\" is used more than once; it must be unique");
      }
      if (isBelow(team.maxCores(), team.guaranteedCores())
          || isBelow(team.maxAccelerators(), team.guaranteedAccelerators())) {
        problems.report(
            "params.teams.cpus_max",
            "team \""
                + team.name()
                + "\" has a limit below its guarantee: cpus_max = "
                + team.maxCores()
                + " with cpus = "
                + team.guaranteedCores()
                + ", gpus_max = "
                + team.maxAccelerators()
                + " with gpus = "
                + team.guaranteedAccelerators()
                + "; a limit must be 0 (none) or at least the guarantee");
      }
    }
  }

  /** Whether there is a limit and it is below the guarantee; a limit of 0 means none. */
  private static boolean isBelow(double limit, double guarantee) {
    return limit > 0 && limit < guarantee;
  }
}
