/** Stand-in for model engines. */
package io.fireflyshed.standins.engine;
