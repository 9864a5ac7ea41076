/** Tests of the acceptance and the distribution of configuration versions. */
package io.fireflyshed.coordination.configuration;
