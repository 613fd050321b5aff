/**
 * Jobs that depend on other jobs.
 *
 * <p>Duty: derives readiness and abortion of each job from the durable records, and computes
 * inherited deadlines and priorities along the critical path. Owns: the dependency graph, which
 * every controller keeps because responses to users need it. Nothing that is derived here is
 * stored.
 *
 * <p>May depend on: {@code state}, {@code eventloop}, and {@code model}.
 */
package org.ploverspindle.pipelines;
