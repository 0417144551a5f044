/** A small HTTP server on Netty's codec that the stand-ins share. */
@NullMarked
package org.azurearch.standin.http;

import org.jspecify.annotations.NullMarked;
