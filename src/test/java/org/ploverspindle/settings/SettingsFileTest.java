package org.ploverspindle.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against settings that are accepted though invalid, and against problems that are reported
 * without their field and line, or one at a time. Also covers the warnings about limits that are
 * too small, and the choice of the smaller one of the current and the next limits.
 */
class SettingsFileTest {
  public static String sampleText() throws IOException {
    try (var in = SettingsFileTest.class.getResourceAsStream("/rehearsal.toml")) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static List<String> problemsOf(String text) {
    InvalidSettingsException invalid =
        assertThrows(InvalidSettingsException.class, () -> SettingsFile.parse("s.toml", text));
    return invalid.problems().stream().map(SettingsProblem::toString).toList();
  }

  @Test
  void validFileIsReadAndUnknownFieldsAreIgnored() throws Exception {
    Settings settings = SettingsFile.parse("s.toml", "novelty = 3\n" + sampleText());
    assertEquals("rehearsal", settings.controllerName());
    assertEquals(10.0, settings.workers().leaseS());
    assertEquals(1, settings.controllerCount());
    assertEquals(8192, settings.stateLimits().maxValueBytes());
  }

  @Test
  void everyInvalidFieldIsReportedWithItsLine() throws Exception {
    String invalid =
        sampleText()
            .replace("report_s = 1.0", "report_s = -1.0")
            .replace("list_lag_s = 1.0", "")
            .replace("front = \"127.0.0.1:0\"", "front = \"localhost:80\"");
    List<String> problems = problemsOf(invalid);
    assertEquals(3, problems.size(), problems.toString());
    assertTrue(problems.get(0).startsWith("s.toml:4: front: "), problems.get(0));
    assertTrue(
        problems
            .get(1)
            .contains(
                "params.workers.report_s: must be a finite number of at least 0.01, and is -1"),
        problems.get(1));
    assertTrue(problems.get(2).endsWith("params.cloud.list_lag_s: this required field is missing"));
  }

  @Test
  void missingTableIsReportedOnceAndNotForEachOfItsFields() throws Exception {
    List<String> problems = problemsOf(sampleText().replace("[params.state]", "[params.other]"));
    assertEquals(
        List.of("s.toml:11: params.state: this required table is missing or not a table"),
        problems);
  }

  @Test
  void invalidTomlIsRejectedWithItsLine() {
    assertTrue(problemsOf("a = 1\nb = = 2\n").get(0).startsWith("s.toml:2: "));
  }

  @Test
  void workerLeaseLongerThanCancellationTimeIsRejected() throws Exception {
    List<String> problems = problemsOf(sampleText().replace("cancel_s = 40.0", "cancel_s = 9.0"));
    assertTrue(problems.get(0).contains("params.workers.cancel_s"), problems.toString());
  }

  @Test
  void limitsTooSmallForTheDeploymentAreAcceptedWithAWarning() throws Exception {
    assertEquals(List.of(), LimitChecks.warnings(SettingsFile.parse("s.toml", sampleText())));
    for (String[] small :
        new String[][] {{"rps", "3.0"}, {"write_rps", "1.0"}, {"value_kb", "1.0"}}) {
      String text =
          sampleText().replaceAll("(?m)^" + small[0] + " = .*$", small[0] + " = " + small[1]);
      List<LimitChecks.Warning> warnings = LimitChecks.warnings(SettingsFile.parse("s.toml", text));
      assertEquals(1, warnings.size(), small[0] + ": " + warnings);
      assertEquals("params.state." + small[0], warnings.get(0).field());
    }
  }

  @Test
  void smallerOfCurrentAndNextStateLimitsIsEffective() throws Exception {
    Settings settings = SettingsFile.parse("s.toml", sampleText());
    assertEquals(settings.stateLimits(), settings.effectiveStateLimits());
    String next = sampleText() + "\n[params.state.next]\nvalue_kb = 2.5\ntxn_ops = 4000\n";
    settings = SettingsFile.parse("s.toml", next);
    assertEquals(2560, settings.effectiveStateLimits().maxValueBytes());
    assertEquals(
        settings.stateLimits().maxChangesPerTransaction(),
        settings.effectiveStateLimits().maxChangesPerTransaction());
    assertEquals(
        settings.stateLimits().requestsPerS(), settings.effectiveStateLimits().requestsPerS());
    assertEquals(8192, settings.stateLimits().maxValueBytes());
  }

  @Test
  void invalidNextStateLimitsAreRejectedWithFieldAndLine() throws Exception {
    int lines = sampleText().split("\n", -1).length;
    String tooSmall = sampleText() + "\n[params.state.next]\nvalue_kb = 2.5\ntxn_ops = 3\n";
    assertEquals(
        List.of(
            "s.toml:"
                + (lines + 3)
                + ": params.state.next.txn_ops: must be a finite number of at least 4.0, and is 3"),
        problemsOf(tooSmall));
    String inlineTable =
        sampleText().replace("[params.state]", "[params.state]\nnext = { rps = \"no\" }");
    assertTrue(
        problemsOf(inlineTable)
            .get(0)
            .startsWith(
                "s.toml:28: params.state.next.rps: must be a finite number of at least 1.0,"
                    + " and is \"no\""),
        problemsOf(inlineTable).toString());
    String notATable = sampleText().replace("[params.state]", "[params.state]\nnext = 3");
    assertEquals(
        List.of("s.toml:28: params.state.next: must be a table, and is 3"), problemsOf(notATable));
  }

  @Test
  void nextStateLimitsTooSmallForTheDeploymentGiveWarningsOfTheirFields() throws Exception {
    String small =
        sampleText() + "\n[params.state.next]\nrps = 3\nwrite_rps = 1\nvalue_kb = 1\ntxn_ops = 4\n";
    assertEquals(
        List.of(
            "params.state.next.rps", "params.state.next.write_rps", "params.state.next.value_kb"),
        LimitChecks.warnings(SettingsFile.parse("s.toml", small)).stream()
            .map(LimitChecks.Warning::field)
            .toList());
  }
}
