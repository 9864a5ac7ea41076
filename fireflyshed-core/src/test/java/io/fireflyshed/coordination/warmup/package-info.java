/** Tests of the use of cold targets. */
package io.fireflyshed.coordination.warmup;
