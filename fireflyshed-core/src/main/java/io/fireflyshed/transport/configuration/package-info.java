/**
 * Commits configuration versions, puts new versions in force and answers the questions of peers
 * about them.
 */
package io.fireflyshed.transport.configuration;
