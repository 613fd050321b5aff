package org.ploverspindle.cluster;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.ploverspindle.model.Resources;
import org.ploverspindle.settings.Settings;

/** What each team's tasks take, from the intent until they are proven gone, and its bounds. */
public final class TeamUsage {
  private final List<Settings.Team> teams;
  private final long[] cores;
  private final long[] accelerators;

  public TeamUsage(List<Settings.Team> teams) {
    this.teams = teams;
    this.cores = new long[teams.size()];
    this.accelerators = new long[teams.size()];
  }

  public Optional<Integer> index(String name) {
    for (int i = 0; i < teams.size(); i++) {
      if (teams.get(i).name().equals(name)) {
        return Optional.of(i);
      }
    }
    return Optional.empty();
  }

  public void add(int team, Resources resources) {
    cores[team] += resources.cores();
    accelerators[team] += resources.accelerators();
  }

  public void remove(int team, Resources resources) {
    cores[team] -= resources.cores();
    accelerators[team] -= resources.accelerators();
  }

  /** How many more such tasks the team's limit allows. */
  public int tasksWithinLimit(int team, Resources perTask) {
    Settings.Team settings = teams.get(team);
    return Math.min(
        tasksWithinLimit(settings.coresMax(), cores[team], perTask.cores()),
        tasksWithinLimit(settings.acceleratorsMax(), accelerators[team], perTask.accelerators()));
  }

  private static int tasksWithinLimit(double limit, long used, long each) {
    if (limit <= 0 || each <= 0) {
      return Integer.MAX_VALUE;
    }
    return (int) Math.max(0, ((long) Math.floor(limit * 1000 + 1e-6) - used) / each);
  }

  /** Would the team stay within its guarantee with this much more? */
  public boolean withinGuarantee(int team, Resources more) {
    return guarantees(
        team,
        new Resources(cores[team] + more.cores(), accelerators[team] + more.accelerators(), 0));
  }

  /** Does the team's guarantee cover this much in all? */
  public boolean guarantees(int team, Resources all) {
    Settings.Team settings = teams.get(team);
    return all.cores() <= settings.cores() * 1000 + 0.5
        && all.accelerators() <= settings.accelerators() * 1000 + 0.5;
  }

  public long cores(int team) {
    return cores[team];
  }

  /** Cores, in thousandths, that the team's limit leaves; empty when it has none. */
  public OptionalLong coresWithinLimit(int team) {
    double limit = teams.get(team).coresMax();
    return limit <= 0
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(0, (long) Math.floor(limit * 1000 + 1e-6) - cores[team]));
  }
}
