package org.ploverspindle.placement;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against a forecast that takes a short pause for the end of all arrivals, or that overlooks
 * jobs that become ready when their dependencies complete.
 */
class ArrivalForecastTest {
  @Test
  void submissionsCountAsStoppedOnlyAfterALongPause() {
    ArrivalForecast forecast = new ArrivalForecast();
    for (int i = 0; i < 10; i++) {
      forecast.recordSubmission(1_000L * 4 * i);
    }
    assertFalse(forecast.submissionsStopped(36_000 + 20_000));
    assertTrue(forecast.submissionsStopped(36_000 + 29_000));
    assertFalse(
        new ArrivalForecast().submissionsStopped(1_000_000),
        "submissions cannot have stopped if there were none");
  }

  @Test
  void jobsThatBecomeReadyCountAsArrivalsButNotAsSubmissions() {
    ArrivalForecast forecast = new ArrivalForecast();
    for (int i = 0; i < 10; i++) {
      forecast.recordSubmission(1_000L * 4 * i);
    }
    for (int i = 0; i < 10; i++) {
      forecast.recordReady(36_000 + 1_000L * 4 * i);
    }
    assertTrue(forecast.submissionsStopped(36_000 + 29_000), "users no longer submit jobs");
    assertFalse(forecast.arrivalsStopped(36_000 + 29_000), "jobs still become ready");
    assertTrue(forecast.arrivalsStopped(72_000 + 29_000));
  }
}
