package org.ploverspindle.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ploverspindle.settings.InvalidSettingsException;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.settings.SettingsFile;

/**
 * Guards against wrong operator precedence in policy expressions, and against invalid lines that
 * are accepted or reported without a helpful message. An error must be found in the branch of an
 * "if" that is not selected, too, and a deeply nested expression must not overflow the stack.
 */
class PolicyFileTest {
  private static Settings settings() throws Exception {
    try (InputStream in = PolicyFileTest.class.getResourceAsStream("/rehearsal.toml")) {
      String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      return SettingsFile.parse("s.toml", text);
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "2 + 3 * 4 | 14",
        "(2 + 3) * 4 | 20",
        "10 - 2 - 3 | 5",
        "--6 / 2 | 3",
        "max(1, lease_s, 7) | 10",
        "if report_s <= 1 then 5 else 6 | 5",
        "if nodes > 1 then 5 else if zones == 1 then 8 else 9 | 8",
      })
  void expressionHasTheExpectedValue(String expression, double value) throws Exception {
    assertEquals(value, PolicyFile.parse("p", "idle_s = " + expression, settings()).idleS());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "idle_s = 1 +| expected a number, a name, a function call, \"-\" or \"(\" but found the end of"
            + " the line (column 13)",
        "idle_s = lease_z| unknown name \"lease_z\"",
        "idle_s = lease_s / 0| division by zero: the value after / is 0",
        "idle_s = 1 < 2| expected a number but found a comparison",
        "idle_s = if 1 then 2 else 3| expected a comparison between if and then",
        "idle_s = if 1 < 2 then 3 else nope| unknown name \"nope\"",
        "idle_s = 0| the value is 0.0 and must be from 1.0 to 86400.0",
        "pool_min = 1.5| the value is 1.5 and must be a whole number from 0.0 to 100000.0",
        "idle_z = 3| unknown setting; known settings are backoff_s, ",
        "idle_s = 3 4| unexpected 4 after the end of the expression",
        "idle_s = mean(1, 2)| unknown function \"mean\"; known functions are max and min",
        "idle_s = 3 $| unexpected text \"$\"",
        "pool \"x\" middle = 3| expected: pool \"TYPE\" min = VALUE or pool \"TYPE\" max = VALUE",
      })
  void invalidLineIsRejectedWithAMessage(String line, String message) throws Exception {
    Settings settings = settings();
    InvalidSettingsException exception =
        assertThrows(InvalidSettingsException.class, () -> PolicyFile.parse("p", line, settings));
    assertTrue(exception.getMessage().contains(message), exception.getMessage());
  }

  @Test
  void poolMinimumAboveItsMaximumIsRejected() throws Exception {
    Settings settings = settings();
    InvalidSettingsException exception =
        assertThrows(
            InvalidSettingsException.class,
            () -> PolicyFile.parse("p", "pool_max = 3\npool \"x\" min = 4", settings));
    assertTrue(exception.getMessage().contains("above the maximum"), exception.getMessage());
  }

  @Test
  void everyInvalidLineIsReportedWithItsNumber() throws Exception {
    Settings settings = settings();
    InvalidSettingsException exception =
        assertThrows(
            InvalidSettingsException.class,
            () -> PolicyFile.parse("p", "# a\nscan_s = x\nidle_s = 5\nidle_s = 6\n", settings));
    assertEquals(2, exception.problems().size());
    assertEquals(2, exception.problems().get(0).line());
    assertEquals(4, exception.problems().get(1).line());
  }

  @Test
  void tooDeeplyNestedExpressionIsRejected() throws Exception {
    Settings settings = settings();
    String deep = "idle_s = " + "(".repeat(5_000) + "1" + ")".repeat(5_000);
    assertThrows(InvalidSettingsException.class, () -> PolicyFile.parse("p", deep, settings));
  }

  @Test
  void poolHasItsOwnBoundsOrTheCommonOnes() throws Exception {
    Policy policy = PolicyFile.parse("p", "pool_max = 9\npool \"a-1\" min = 2", settings());
    assertEquals(new Policy.PoolBounds(2, 9), policy.pool("a-1"));
    assertEquals(new Policy.PoolBounds(0, 9), policy.pool("b"));
  }
}
