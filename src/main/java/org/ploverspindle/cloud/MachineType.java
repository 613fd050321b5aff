package org.ploverspindle.cloud;

import java.util.List;
import org.ploverspindle.jobs.Resources;

/** A machine type that the cloud rents out. */
public record MachineType(
    String name,
    Resources size,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    double bootS,
    List<String> zones) {
  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
