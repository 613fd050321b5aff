package org.ploverspindle.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Signals that settings or a policy are invalid, and holds every problem found in them. */
public final class InvalidSettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<SettingsProblem> problems;

  public InvalidSettingsException(List<SettingsProblem> problems) {
    super(problems.stream().map(SettingsProblem::toString).collect(Collectors.joining("\n")));
    this.problems = List.copyOf(problems);
  }

  /** All problems, in the order in which they were found. */
  public List<SettingsProblem> problems() {
    return problems;
  }
}
