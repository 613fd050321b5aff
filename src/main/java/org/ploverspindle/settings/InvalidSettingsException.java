package org.ploverspindle.settings;

import java.util.List;
import java.util.stream.Collectors;

/** Settings that cannot be used, with every problem found in them. */
public final class InvalidSettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient List<SettingsProblem> problems;

  public InvalidSettingsException(List<SettingsProblem> problems) {
    super(problems.stream().map(SettingsProblem::toString).collect(Collectors.joining("\n")));
    this.problems = List.copyOf(problems);
  }

  /** All problems, in the order of the check. */
  public List<SettingsProblem> problems() {
    return problems;
  }
}
