/**
 * Which pending task starts on which machine, and what capacity is missing.
 *
 * <p>Duty: orders pending jobs, selects machines, protects jobs from starvation, preempts,
 * estimates run times and arrival rates, and plans scale-out. Owns: the estimates and the arrival
 * statistics of a term. It decides; durable writes, commands to workers and requests to the cloud
 * are made elsewhere.
 *
 * <p>May depend on: {@code cluster}, {@code model}, {@code settings}.
 */
package org.ploverspindle.placement;
