package org.ploverspindle.placement;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ArrivalForecastTest {
  @Test
  void submissionsHaveStoppedOnlyAfterALongPause() {
    ArrivalForecast forecast = new ArrivalForecast();
    for (int i = 0; i < 10; i++) {
      forecast.recordSubmission(1_000L * 4 * i);
    }
    assertFalse(forecast.submissionsStopped(36_000 + 20_000));
    assertTrue(forecast.submissionsStopped(36_000 + 29_000));
    assertFalse(
        new ArrivalForecast().submissionsStopped(1_000_000),
        "without submissions none have stopped");
  }

  @Test
  void jobsThatBecomeReadyAreArrivalsButNoSubmissions() {
    ArrivalForecast forecast = new ArrivalForecast();
    for (int i = 0; i < 10; i++) {
      forecast.recordSubmission(1_000L * 4 * i);
    }
    for (int i = 0; i < 10; i++) {
      forecast.recordReady(36_000 + 1_000L * 4 * i);
    }
    assertTrue(forecast.submissionsStopped(36_000 + 29_000), "users have stopped");
    assertFalse(forecast.arrivalsStopped(36_000 + 29_000), "the pipelines have not");
    assertTrue(forecast.arrivalsStopped(72_000 + 29_000));
  }
}
