package org.ploverspindle.settings;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Checks rules that relate several fields of the settings, each of which is valid on its own. */
final class SettingsRules {
  private SettingsRules() {}

  /** Reports every rule that the settings violate. */
  static void check(Settings settings, SettingsProblems problems) {
    checkMembers(settings, problems);
    checkTeams(settings.teams(), problems);
    if (settings.workers().leaseS() >= settings.workers().cancelS()) {
      problems.report(
          "params.workers.cancel_s",
          "must be longer than lease_s: a machine that is cut off stops only when its lease ends");
    }
  }

  private static void checkMembers(Settings settings, SettingsProblems problems) {
    Set<String> names = new HashSet<>(Set.of(settings.member()));
    for (Settings.Member member : settings.members()) {
      if (!names.add(member.name())) {
        problems.report("members.member", "\"" + member.name() + "\" stands twice");
      }
    }
  }

  private static void checkTeams(List<Settings.Team> teams, SettingsProblems problems) {
    Set<String> names = new HashSet<>();
    for (Settings.Team team : teams) {
      if (!names.add(team.name())) {
        problems.report("params.teams.name", "\"" + team.name() + "\" stands twice");
      }
      if (isBelow(team.maxCores(), team.guaranteedCores())
          || isBelow(team.maxAccelerators(), team.guaranteedAccelerators())) {
        problems.report(
            "params.teams.cpus_max", "the limit of \"" + team.name() + "\" is below its guarantee");
      }
    }
  }

  /** Whether there is a limit and it is below the guarantee; a limit of 0 means none. */
  private static boolean isBelow(double limit, double guarantee) {
    return limit > 0 && limit < guarantee;
  }
}
