/**
 * The platform's settings file (TOML), which is read and checked once at startup.
 *
 * <p>Responsibility: turns the file into the immutable {@link org.ploverspindle.settings.Settings
 * Settings}; reports all problems together, each with its line; warns of limits that are valid but
 * too small for the deployment. Owns: the names of the file's fields and their allowed ranges.
 *
 * <p>Allowed dependencies: nothing of this project.
 */
package org.ploverspindle.settings;
