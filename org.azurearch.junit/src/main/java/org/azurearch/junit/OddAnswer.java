package org.azurearch.junit;

/** Bytes of a server that are no answer by RFC 9112, each close to one that is. */
public enum OddAnswer {
    STATUS_ZERO("HTTP/1.1 000 Zero", "Content-Length: 4", "body"),
    STATUS_BELOW_RANGE("HTTP/1.1 099 x", "Content-Length: 4", "body"),
    STATUS_ABOVE_RANGE("HTTP/1.1 600 x", "Content-Length: 4", "body"),
    STATUS_OF_TWO_DIGITS("HTTP/1.1 20 OK", "Content-Length: 4", "body"),
    STATUS_OF_FOUR_DIGITS("HTTP/1.1 2000 OK", "Content-Length: 4", "body"),
    STATUS_WITH_SIGN("HTTP/1.1 +200 OK", "Content-Length: 4", "body"),
    STATUS_WITH_LETTER("HTTP/1.1 20x OK", "Content-Length: 4", "body"),
    STATUS_MISSING("HTTP/1.1", "Content-Length: 4", "body"),
    STATUS_BEHIND_TWO_BLANKS("HTTP/1.1  200 OK", "Content-Length: 4", "body"),
    STATUS_BEHIND_TAB("HTTP/1.1\t200 OK", "Content-Length: 4", "body"),
    STATUS_JOINED_TO_VERSION("HTTP/1.1200 OK", "Content-Length: 4", "body"),
    SWITCHED_PROTOCOLS("HTTP/1.1 101 x", "Content-Length: 4", "body"),
    REASON_WITH_CONTROL("HTTP/1.1 200 O\u0001K", "Content-Length: 4", "body"),
    VERSION_TWO("HTTP/2.0 200 OK", "Content-Length: 4", "body"),
    VERSION_OF_TWO_DIGITS("HTTP/1.11 200 OK", "Content-Length: 4", "body"),
    VERSION_IN_LOWER_CASE("http/1.1 200 OK", "Content-Length: 4", "body"),
    OTHER_PROTOCOL("ICY/1.1 200 OK", "Content-Length: 4", "body"),
    BYTES_BEFORE_STATUS_LINE("\u0001\u0002 HTTP/1.1 200 OK", "Content-Length: 4", "body"),
    BLANK_LINE_BEFORE_STATUS_LINE("\r\nHTTP/1.1 200 OK", "Content-Length: 4", "body"),
    NAME_WITH_BLANK("HTTP/1.1 200 OK", "X A: b\r\nContent-Length: 4", "body"),
    LENGTH_WITH_BLANK_IN_NAME(
            "HTTP/1.1 200 OK", "Content-Length x: 2\r\nContent-Length: 4", "body"),
    BLANK_BEHIND_NAME("HTTP/1.1 200 OK", "Content-Length : 4", "body"),
    TAB_BEHIND_NAME("HTTP/1.1 200 OK", "Content-Length\t: 4", "body"),
    NAME_WITH_CONTROL("HTTP/1.1 200 OK", "X\u0001A: b\r\nContent-Length: 4", "body"),
    NAME_WITH_NUL("HTTP/1.1 200 OK", "X\u0000A: b\r\nContent-Length: 4", "body"),
    NAME_WITH_DELETE("HTTP/1.1 200 OK", "X\u007fA: b\r\nContent-Length: 4", "body"),
    NAME_WITH_SEPARATOR("HTTP/1.1 200 OK", "X(A): b\r\nContent-Length: 4", "body"),
    NAME_BEYOND_ASCII("HTTP/1.1 200 OK", "X\u00e9: b\r\nContent-Length: 4", "body"),
    NAME_EMPTY("HTTP/1.1 200 OK", ": b\r\nContent-Length: 4", "body"),
    LINE_WITHOUT_COLON("HTTP/1.1 200 OK", "X\r\nContent-Length: 4", "body"),
    LINE_FOLDED("HTTP/1.1 200 OK", "X: a\r\n b\r\nContent-Length: 4", "body"),
    VALUE_WITH_NUL("HTTP/1.1 200 OK", "X: a\u0000b\r\nContent-Length: 4", "body"),
    VALUE_WITH_CONTROL("HTTP/1.1 200 OK", "X: a\u0001b\r\nContent-Length: 4", "body"),
    VALUE_WITH_CARRIAGE_RETURN("HTTP/1.1 200 OK", "X: a\rb\r\nContent-Length: 4", "body"),
    LINE_FEEDS_ONLY("HTTP/1.1 200 OK", "X: a\nContent-Length: 4", "body"),
    LENGTH_AND_CODING(
            "HTTP/1.1 200 OK",
            "Content-Length: 4\r\nTransfer-Encoding: chunked",
            "4\r\nbody\r\n0\r\n\r\n"),
    LENGTHS_THAT_DIFFER("HTTP/1.1 200 OK", "Content-Length: 2\r\nContent-Length: 4", "body"),
    LENGTHS_IN_A_LIST("HTTP/1.1 200 OK", "Content-Length: 4, 4", "body"),
    LENGTH_WITH_SIGN("HTTP/1.1 200 OK", "Content-Length: +4", "body"),
    LENGTH_NEGATIVE("HTTP/1.1 200 OK", "Content-Length: -4", "body"),
    LENGTH_HEXADECIMAL("HTTP/1.1 200 OK", "Content-Length: 0x4", "body"),
    LENGTH_EMPTY("HTTP/1.1 200 OK", "Content-Length:", "body"),
    LENGTH_OUT_OF_RANGE("HTTP/1.1 200 OK", "Content-Length: 99999999999999999999", "body"),
    CODING_UNKNOWN("HTTP/1.1 200 OK", "Transfer-Encoding: gzip", "body"),
    CODING_BEFORE_CHUNKED(
            "HTTP/1.1 200 OK", "Transfer-Encoding: gzip, chunked", "4\r\nbody\r\n0\r\n\r\n"),
    CODING_BEHIND_CHUNKED(
            "HTTP/1.1 200 OK", "Transfer-Encoding: chunked, gzip", "4\r\nbody\r\n0\r\n\r\n"),
    CODING_LIKE_CHUNKED("HTTP/1.1 200 OK", "Transfer-Encoding: xchunked", "4\r\nbody\r\n0\r\n\r\n"),
    CODING_TWICE(
            "HTTP/1.1 200 OK",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            "4\r\nbody\r\n0\r\n\r\n"),
    CODING_IN_EARLIER_VERSION(
            "HTTP/1.0 200 OK", "Transfer-Encoding: chunked", "4\r\nbody\r\n0\r\n\r\n"),
    BODY_WITHOUT_CONTENT("HTTP/1.1 204 x", "Content-Length: 4", "body"),
    CHUNK_SIZE_WITH_SIGN("+4\r\nbody\r\n0\r\n\r\n"),
    CHUNK_SIZE_NEGATIVE("-4\r\nbody\r\n0\r\n\r\n"),
    CHUNK_SIZE_WITH_PREFIX("0x4\r\nbody\r\n0\r\n\r\n"),
    CHUNK_SIZE_WITH_BLANK_BEFORE(" 4\r\nbody\r\n0\r\n\r\n"),
    CHUNK_SIZE_WITH_TEXT_BEHIND("4 x\r\nbody\r\n0\r\n\r\n"),
    CHUNK_SIZE_WITH_CONTROL("4\u0001\r\nbody\r\n0\r\n\r\n"),
    CHUNK_SIZE_NO_NUMBER("x\r\nbody\r\n0\r\n\r\n"),
    CHUNK_SIZE_EMPTY("\r\nbody\r\n0\r\n\r\n"),
    CHUNK_SIZE_OUT_OF_RANGE("ffffffffffffffff4\r\nbody\r\n0\r\n\r\n"),
    CHUNK_SIZE_LINE_FEED_ONLY("4\nbody\r\n0\r\n\r\n"),
    CHUNK_LONGER_THAN_SIZE("4\r\nbodybody\r\n0\r\n\r\n"),
    CHUNK_WITHOUT_LINE_END("4\r\nbody0\r\n\r\n");

    private final String mStatusLine;
    private final String mLines;
    private final String mBody;

    OddAnswer(String statusLine, String lines, String body) {
        mStatusLine = statusLine;
        mLines = lines;
        mBody = body;
    }

    OddAnswer(String chunks) {
        this("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", chunks);
    }

    /**
     * Returns the form with status 503 in place of 200, as ISO 8859-1 text.
     *
     * @param lines further header lines, each with its end
     */
    public String refusalText(String lines) {
        return text(lines).replaceFirst("200", "503");
    }

    /**
     * Returns the bytes as ISO 8859-1 text.
     *
     * @param lines further header lines, each with its end
     */
    public String text(String lines) {
        return mStatusLine + "\r\n" + lines + mLines + "\r\n\r\n" + mBody;
    }
}
