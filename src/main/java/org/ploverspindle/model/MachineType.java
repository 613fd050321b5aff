package org.ploverspindle.model;

import java.util.List;

/**
 * A machine type that the cloud offers.
 *
 * @param name the cloud's name of the type
 * @param size the resources that a machine offers to tasks
 * @param cacheGb size of a machine's image cache in GB
 * @param fetchGbPerS the rate at which a machine fetches an image, in GB per second
 * @param price the price of an on-demand machine, as the cloud lists it
 * @param spotPrice the price of a spot machine, in the unit of {@code price}
 * @param bootS expected boot time of a machine in seconds
 * @param zones names of the zones in which the cloud offers the type
 */
public record MachineType(
    String name,
    Resources size,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    double bootS,
    List<String> zones) {
  /** The price of a spot machine if {@code spot} is true, else that of an on-demand machine. */
  public double price(boolean spot) {
    return spot ? spotPrice : price;
  }
}
